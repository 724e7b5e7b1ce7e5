#pragma once

#include <ggv/state/core/time.hpp>

namespace ggv {

/**
 * @brief Detects pauses of the process and bounds the time at which a message was sent.
 *
 * A process that was stopped, or that waited for its disk, reads the messages of that time late.
 * Does no I/O; callers supply the time.
 */
class PauseDetector
{
public:
    //! A longer time between two calls of observe() is a pause.
    static constexpr Duration MaxInterval = std::chrono::milliseconds(500);
    //! Time after a pause within which the messages that arrived during it are read.
    static constexpr Duration DrainTime = std::chrono::milliseconds(300);

    //! @param now Time at which the process starts to read messages.
    explicit PauseDetector(Instant now) noexcept;

    //! Records that the process runs. Must be called periodically and before each message.
    void observe(Instant now) noexcept;
    /**
     * @brief Bounds the time at which a message was sent, but for its time on the network.
     * @param readAt Time at which it was read; Instant::min() if there was none.
     * @return The beginning of the last pause if the message may have arrived during it, else
     * @p readAt.
     */
    [[nodiscard]] Instant notSentBefore(Instant readAt) const noexcept;
    //! @return End of the last pause; Instant::min() if there was none.
    [[nodiscard]] Instant runningSince() const noexcept { return m_resumedAt; }

private:
    Instant m_observedAt;
    Instant m_pausedAt = Instant::min();
    Instant m_resumedAt = Instant::min();
};

} // namespace ggv
