#pragma once

#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/register.hpp>

#include <map>
#include <vector>

namespace ggv {

/**
 * @brief Aggregates host reports into the control leader's view of all hosts. Does no I/O and reads
 * no clock; the time is passed in.
 */
class HostTracker
{
public:
    //! Time without a report after which a host counts as unreachable.
    static constexpr Duration UnreachableAfter = std::chrono::milliseconds(2500);
    //! Time for which a refused connection counts as evidence that the process has stopped.
    static constexpr Duration StoppedEvidenceLifetime = std::chrono::milliseconds(2000);

    //! Records a report; ignores it unless it is newer than the last one of the same process.
    void observe(const HostStatusReport &report, Instant now);
    //! Records that the host's operating system refused a connection.
    void recordConnectionRefused(const HostName &host, Instant now);
    //! Removes all records. Called by a newly elected leader.
    void clear(Instant now);

    /**
     * @brief Returns the hosts that are not live or do not have the register's version in force.
     * @param content The newest accepted register.
     * @param now The current time.
     * @return The exceptions, sorted by host.
     */
    [[nodiscard]] std::vector<HostException> exceptions(const Register &content, Instant now) const;
    //! Returns the latest report of each host that arrived at or after a point in time.
    [[nodiscard]] std::vector<HostStatusReport> reportsSince(Instant since) const;
    //! Returns true if there is recent evidence that the host's process has stopped.
    [[nodiscard]] bool isStopped(const HostName &host, Instant now) const;

private:
    struct HostRecord
    {
        HostStatusReport report;
        Instant receivedAt = Instant::min();
        Instant refusedAt = Instant::min();
    };

    [[nodiscard]] HostException classify(const HostName &host, Instant now) const;

    std::map<HostName, HostRecord> m_hosts;
    Instant m_startedAt = Instant::min();
};

} // namespace ggv
