#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

/**
 * @brief Detects when all connections to one peer must be closed because the peer went silent.
 *
 * Each connection belongs to the generation that was current when it was opened. If no byte arrives
 * for the time-out while an answer is outstanding, the generation ends: its connections are closed
 * and new ones are opened.
 */
class ConnectionGeneration
{
public:
    //! @param silenceTimeout Maximum time without any received byte while an answer is outstanding.
    explicit ConnectionGeneration(Duration silenceTimeout) noexcept;

    //! @return The generation for new connections.
    [[nodiscard]] std::uint64_t current() const noexcept { return m_current; }

    //! @return True if connections of the generation may still be used.
    [[nodiscard]] bool isUsable(std::uint64_t generation) const noexcept
    {
        return generation == m_current;
    }

    /**
     * @brief Records that a message that needs an answer was sent.
     * @param generation Generation of the connection.
     * @param now Current time.
     */
    void onSent(std::uint64_t generation, Instant now) noexcept;

    /**
     * @brief Records that bytes were received.
     * @param generation Generation of the connection; bytes of older generations are ignored.
     * @param now Current time.
     */
    void onReceived(std::uint64_t generation, Instant now) noexcept;

    //! Records that an answer is complete or no longer awaited.
    void onFinished(std::uint64_t generation) noexcept;

    /**
     * @brief Starts a new generation if the current one exceeded the silence time-out.
     * @param now Current time.
     * @return True if the generation changed.
     */
    bool retireIfSilent(Instant now) noexcept;

    [[nodiscard]] auto operator<=>(const ConnectionGeneration &) const noexcept = default;

private:
    Duration m_silenceTimeout;
    std::uint64_t m_current = 1;
    std::uint32_t m_outstanding = 0;
    Instant m_lastActivityAt {}; //!< When the last byte was received or the first outstanding
                                 //!< message was sent, whichever is later.
};

} // namespace ggv
