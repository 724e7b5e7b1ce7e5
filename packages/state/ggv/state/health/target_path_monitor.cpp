#include <ggv/state/health/target_path_monitor.hpp>

#include <algorithm>
#include <set>

namespace ggv {

std::string_view targetPathStateName(TargetPathState state) noexcept
{
    switch (state) {
    case TargetPathState::Open:
        return "open";
    case TargetPathState::Suspected:
        return "suspected";
    case TargetPathState::Lost:
        return "lost";
    }
    return "unlisted";
}

void TargetPathMonitor::observeFailure(std::string_view instance, const FailureDomainName &domain,
                                       PathFailure kind, Instant now)
{
    if (isLost() || m_listedDomains == 0)
        return;
    if (isOpen())
        std::erase_if(m_failures,
                      [now](const auto &it) { return now - it.second.at > FailureWindow; });
    m_failures.insert_or_assign(std::string(instance), Failure { domain, kind, now });
    if (!isOpen() || now < m_suspectableAt || !isEvidenceSufficient())
        return;
    m_state = TargetPathState::Suspected;
    m_evidenceSince = now - FailureWindow;
    m_probeDueAt = now;
}

void TargetPathMonitor::observeConnection(Instant now)
{
    m_failures.clear();
    reopen(now);
}

void TargetPathMonitor::observeAnswer(Instant now)
{
    std::erase_if(m_failures, [](const auto &it) { return it.second.kind == PathFailure::Silent; });
    if (!isEvidenceSufficient())
        reopen(now);
}

void TargetPathMonitor::setDomains(std::size_t listed)
{
    m_listedDomains = listed;
    if (listed > 0)
        return;
    m_failures.clear();
    m_state = TargetPathState::Open;
}

void TargetPathMonitor::observeProbes(bool anyEstablished, Instant now)
{
    if (isOpen())
        return;
    if (anyEstablished) {
        observeConnection(now);
        return;
    }
    m_state = TargetPathState::Lost;
    m_probeDueAt = now + ProbeInterval;
}

bool TargetPathMonitor::isProbeDue(Instant now) const noexcept
{
    return !isOpen() && now >= m_probeDueAt;
}

std::size_t TargetPathMonitor::failedDomains() const
{
    std::set<FailureDomainName> domains;
    for (const auto &[instance, failure] : m_failures)
        domains.insert(failure.domain);
    return domains.size();
}

bool TargetPathMonitor::isEvidenceSufficient() const
{
    return m_failures.size() >= MinFailedTargets
        && failedDomains() >= std::min(MinFailedDomains, m_listedDomains);
}

void TargetPathMonitor::reopen(Instant now) noexcept
{
    if (isOpen())
        return;
    m_state = TargetPathState::Open;
    m_suspectableAt = now + MinTimeBetweenSuspicions;
}

} // namespace ggv
