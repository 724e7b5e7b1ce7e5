#pragma once

#include <ggv/state/routing/target_state_report.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Queues state reports about targets that a control host forwards between hosts.
 *
 * Each report is forwarded once, unless a newer one of the same target replaces it first.
 */
class TargetStateRelay
{
public:
    //! Reports older than this are not forwarded.
    static constexpr Duration MaxAge = std::chrono::seconds(2);
    //! Maximum number of tracked targets; reports of further targets are dropped.
    static constexpr std::size_t MaxTargets = 8192;

    //! Number of load reports that entry hosts are sent at a time, and of reports of other kinds.
    static constexpr std::size_t MaxLoadReports = 50;

    //! Queues reports received from an attached entry host, for control hosts and entry hosts.
    void addFromEntry(const std::vector<TargetStateReport> &reports, Instant now);
    //! Queues reports forwarded by another control host, for attached entry hosts.
    void addFromControl(const std::vector<TargetStateReport> &reports, Instant now);
    //! Returns the reports not yet sent to other control hosts and clears the queue.
    [[nodiscard]] std::vector<TargetStateReport> takeForControl(Instant now);
    //! Returns reports not yet sent to attached entry hosts: all of departed targets, and up to
    //! MaxLoadReports load reports and as many of other kinds, so that the links to entry hosts are
    //! not filled when all targets are busy. The rest stays queued.
    [[nodiscard]] std::vector<TargetStateReport> takeForEntry(Instant now);

private:
    struct TrackedReport
    {
        TargetStateReport report;
        Instant observedAt;
    };

    [[nodiscard]] bool add(const TargetStateReport &report, Instant now);
    [[nodiscard]] std::vector<TargetStateReport> takePending(std::set<std::string> &pending,
                                                             Instant now);
    [[nodiscard]] std::set<std::string> selectForEntry();
    void selectInTurn(bool isLoad, std::string &last, std::set<std::string> &selected) const;
    [[nodiscard]] bool isDeparted(const std::string &instance) const;
    [[nodiscard]] bool isLoadReport(const std::string &instance) const;
    void expire(Instant now);

    std::map<std::string, TrackedReport> m_tracked; //!< By instance.
    std::set<std::string> m_forControl;
    std::set<std::string> m_forEntry;
    // Each is followed by the next report of its kind.
    std::string m_lastLoadReport;
    std::string m_lastOtherReport;
};

} // namespace ggv
