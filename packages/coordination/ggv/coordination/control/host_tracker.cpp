#include <ggv/coordination/control/host_tracker.hpp>

namespace ggv {

void HostTracker::observe(const HostStatusReport &report, Instant now)
{
    auto &record = m_hosts[report.host];
    const bool sameProcess = record.report.process == report.process;
    if (sameProcess && record.report.sequence >= report.sequence)
        return;
    record.report = report;
    record.receivedAt = now;
    record.refusedAt = Instant::min();
}

void HostTracker::recordConnectionRefused(const HostName &host, Instant now)
{
    m_hosts[host].refusedAt = now;
}

void HostTracker::clear(Instant now)
{
    m_hosts.clear();
    m_startedAt = now;
}

bool HostTracker::isStopped(const HostName &host, Instant now) const
{
    const auto it = m_hosts.find(host);
    return it != m_hosts.end() && it->second.refusedAt != Instant::min()
        && now - it->second.refusedAt < StoppedEvidenceLifetime;
}

HostException HostTracker::classify(const HostName &host, Instant now) const
{
    const auto it = m_hosts.find(host);
    const bool hasReport = it != m_hosts.end() && it->second.receivedAt != Instant::min();
    if (isStopped(host, now))
        return { host, HostState::Stopped, hasReport ? it->second.report.version : 0 };
    if (!hasReport) {
        // A new leader waits UnreachableAfter for a first report before a host counts as
        // unreachable.
        const bool waited = m_startedAt == Instant::min() || now - m_startedAt > UnreachableAfter;
        return { host, waited ? HostState::Unreachable : HostState::Live, 0 };
    }
    const auto &report = it->second.report;
    if (now - it->second.receivedAt > UnreachableAfter)
        return { host, HostState::Unreachable, report.version };
    return { host, report.leaving ? HostState::Leaving : HostState::Live, report.version };
}

std::vector<HostException> HostTracker::exceptions(const Register &content, Instant now) const
{
    std::vector<HostException> exceptions;
    for (const auto &host : content.content().hosts) {
        auto exception = classify(host.name, now);
        if (exception.state != HostState::Live || exception.version != content.version())
            exceptions.push_back(std::move(exception));
    }
    return exceptions;
}

std::vector<HostStatusReport> HostTracker::reportsSince(Instant since) const
{
    std::vector<HostStatusReport> reports;
    for (const auto &[host, record] : m_hosts) {
        if (record.receivedAt != Instant::min() && record.receivedAt >= since)
            reports.push_back(record.report);
    }
    return reports;
}

} // namespace ggv
