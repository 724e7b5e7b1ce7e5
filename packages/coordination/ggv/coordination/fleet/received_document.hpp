#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <cstdint>

namespace ggv {

/**
 * @brief Newest configuration document that an entry host has received.
 */
class ReceivedDocument
{
public:
    /**
     * @brief Applies an update unless its version is not newer.
     * @return True if the document changed.
     * @throws Error ProtocolViolation if the content does not have the stated digest.
     */
    bool apply(const DocumentUpdate &update);

    //! @return Version of the document; 0 if none was received.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] ByteView bytes() const noexcept { return m_bytes; }

private:
    std::uint64_t m_version = 0;
    Bytes m_bytes;
};

} // namespace ggv
