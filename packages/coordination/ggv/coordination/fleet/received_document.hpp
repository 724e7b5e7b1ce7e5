#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <cstdint>

namespace ggv {

/**
 * @brief Newest configuration document that an entry host has received. Its version never
 * decreases.
 */
class ReceivedDocument
{
public:
    /**
     * @brief Applies an update unless its version is not newer.
     * @return True if there is a newer document.
     * @throws Error ProtocolViolation if the update does not lead to a document with the stated
     * digest. The document is then no longer used as a base, so that the next update is complete.
     */
    bool apply(const DocumentUpdate &update);

    //! @return Version that an update may be relative to; 0 if only a complete one applies.
    [[nodiscard]] std::uint64_t heldVersion() const noexcept { return m_heldVersion; }
    [[nodiscard]] ByteView bytes() const noexcept { return m_bytes; }

private:
    [[nodiscard]] Bytes restore(const DocumentUpdate &update) const;

    std::uint64_t m_version = 0; //!< Newest version ever received.
    std::uint64_t m_heldVersion = 0; //!< Version of m_bytes.
    Bytes m_bytes;
};

} // namespace ggv
