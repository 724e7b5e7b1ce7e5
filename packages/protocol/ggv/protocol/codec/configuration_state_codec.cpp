#include <ggv/protocol/codec/configuration_state_codec.hpp>

#include <ggv/protocol/codec/detail/change_fields.hpp>

namespace ggv {

namespace detail {

template <>
struct Fields<AnsweredChange>
{
    static constexpr auto List
        = std::tuple(&AnsweredChange::id, &AnsweredChange::digest, &AnsweredChange::answer);
};

template <>
struct Fields<ConfigurationState>
{
    static constexpr auto List
        = std::tuple(&ConfigurationState::content, &ConfigurationState::answered);
};

} // namespace detail

Bytes encodeConfigurationState(const ConfigurationState &state)
{
    return detail::encodeValue(state);
}

ConfigurationState decodeConfigurationState(ByteView bytes)
{
    return detail::decodeValue<ConfigurationState>(bytes);
}

} // namespace ggv
