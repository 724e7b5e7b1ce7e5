#include <ggv/protocol/codec/change_codec.hpp>

#include <ggv/protocol/codec/detail/change_fields.hpp>

namespace ggv {

Bytes encodeChangeCommand(const ChangeCommand &command) { return detail::encodeValue(command); }

ChangeCommand decodeChangeCommand(ByteView bytes)
{
    return detail::decodeValue<ChangeCommand>(bytes);
}

Bytes encodeChangeAnswer(const ChangeAnswer &answer) { return detail::encodeValue(answer); }

ChangeAnswer decodeChangeAnswer(ByteView bytes) { return detail::decodeValue<ChangeAnswer>(bytes); }

} // namespace ggv
