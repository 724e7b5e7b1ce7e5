#include <ggv/transport/net/frame.hpp>

#include <ggv/state/core/error.hpp>

#include <boost/endian/conversion.hpp>

#include <string>

namespace ggv {

std::array<std::uint8_t, FrameHeaderBytes> encodeFrameHeader(std::uint32_t size)
{
    std::array<std::uint8_t, FrameHeaderBytes> header {};
    boost::endian::store_big_u32(header.data(), size);
    return header;
}

std::uint32_t decodeFrameHeader(const std::array<std::uint8_t, FrameHeaderBytes> &header)
{
    const std::uint32_t size = boost::endian::load_big_u32(header.data());
    if (size > MaxFrameBytes)
        throw Error(ResultCode::ProtocolViolation,
                    "frame of " + std::to_string(size) + " bytes exceeds the maximum frame size");
    return size;
}

} // namespace ggv
