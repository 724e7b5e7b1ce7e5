#include <ggv/protocol/codec/register_codec.hpp>

#include <ggv/protocol/codec/detail/register_fields.hpp>

namespace ggv {

namespace {

using VersionedContent = std::pair<RegisterVersion, RegisterContent>;

} // namespace

Bytes encodeRegister(const Register &content)
{
    return detail::encodeValue(VersionedContent(content.version(), content.content()));
}

Register decodeRegister(ByteView bytes)
{
    auto [version, content] = detail::decodeValue<VersionedContent>(bytes);
    return Register::create(version, std::move(content)).value();
}

Bytes encodeDelta(const RegisterDelta &delta) { return detail::encodeValue(delta); }

RegisterDelta decodeDelta(ByteView bytes) { return detail::decodeValue<RegisterDelta>(bytes); }

} // namespace ggv
