#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

/**
 * @brief Decides when all connections to one peer must be given up because traffic has gone silent.
 *
 * Connections carry the generation that was current when they were opened. Silence while something
 * is outstanding ends the generation: its connections are closed and new ones are opened.
 */
class ConnectionGeneration
{
public:
    //! @param silenceTimeout Longest time without any byte while an answer is outstanding.
    explicit ConnectionGeneration(Duration silenceTimeout) noexcept;

    //! @return The generation for new connections.
    [[nodiscard]] std::uint64_t current() const noexcept { return m_current; }

    //! @return True if a connection of that generation may still be used.
    [[nodiscard]] bool isUsable(std::uint64_t generation) const noexcept
    {
        return generation == m_current;
    }

    /**
     * @brief Notes that something which needs an answer was sent.
     * @param generation Generation of the connection.
     * @param now Current time.
     */
    void onSent(std::uint64_t generation, Instant now) noexcept;

    /**
     * @brief Notes that bytes arrived.
     * @param generation Generation of the connection; bytes of an older one count for nothing.
     * @param now Current time.
     */
    void onReceived(std::uint64_t generation, Instant now) noexcept;

    //! Notes that an answer is complete or was given up.
    void onFinished(std::uint64_t generation) noexcept;

    /**
     * @brief Starts a new generation if the current one has been silent for too long.
     * @param now Current time.
     * @return True if the generation changed.
     */
    bool retireIfSilent(Instant now) noexcept;

    [[nodiscard]] auto operator<=>(const ConnectionGeneration &) const noexcept = default;

private:
    Duration m_silenceTimeout;
    std::uint64_t m_current = 1;
    std::uint32_t m_outstanding = 0;
    Instant m_lastActivityAt {}; //!< Last byte, or when the first outstanding request was sent.
};

} // namespace ggv
