#pragma once

#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/register.hpp>

#include <map>
#include <vector>

namespace ggv {

/**
 * @brief Folds host reports into the control leader's view of all hosts. Pure: explicit clock.
 */
class HostTracker
{
public:
    //! A host is unreachable after this long without a report.
    static constexpr Duration UnreachableAfter = std::chrono::milliseconds(2500);
    //! Evidence that a process has stopped counts this long.
    static constexpr Duration StoppedEvidenceLifetime = std::chrono::milliseconds(2000);

    //! Takes in a report; an older one of the same process changes nothing.
    void observe(const HostReport &report, Instant now);
    //! Notes that the host's operating system refused a connection.
    void recordConnectionRefused(const HostName &host, Instant now);
    //! Forgets everything, for a leader that has just been elected.
    void clear(Instant now);

    /**
     * @brief Lists what deviates from "live and up to date".
     * @param content The newest accepted register.
     * @param now The current instant.
     * @return Exceptions sorted by host.
     */
    [[nodiscard]] std::vector<HostException> exceptions(const Register &content, Instant now) const;
    //! @return Reports that arrived at or after an instant, one for each host.
    [[nodiscard]] std::vector<HostReport> reportsSince(Instant since) const;
    //! @return True if the host's process is known to have stopped.
    [[nodiscard]] bool isStopped(const HostName &host, Instant now) const;

private:
    struct Known
    {
        HostReport report;
        Instant receivedAt = Instant::min();
        Instant refusedAt = Instant::min();
    };

    [[nodiscard]] HostException classify(const HostName &host, Instant now) const;

    std::map<HostName, Known> m_hosts;
    Instant m_startedAt = Instant::min();
};

} // namespace ggv
