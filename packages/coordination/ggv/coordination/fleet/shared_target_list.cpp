#include <ggv/coordination/fleet/shared_target_list.hpp>

#include <ggv/protocol/codec/fleet_codec.hpp>

#include <algorithm>

#include <utility>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr Duration NeverRead = std::chrono::hours(24);
//! Number of previous lists for which deltas can be computed.
constexpr std::size_t MaxPreviousLists = 4;
//! A cold time is treated as the countdown of the known one if it is at most ColdToleranceBelow
//! below or ColdToleranceAbove above the expected value; a longer one may be due to a restart of
//! the target.
constexpr Duration ColdToleranceBelow = std::chrono::milliseconds(400);
constexpr Duration ColdToleranceAbove = std::chrono::milliseconds(100);

std::uint64_t computeDigest(const std::vector<ListedTarget> &targets)
{
    const Bytes bytes = encodeFleetMessage(TargetListReport { 0, Duration(0), targets, {} });
    return std::max<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size()), 1);
}

// Requires sorted lists; entries equal in both are not part of the delta.
TargetListDelta computeDelta(const TargetList &before, const TargetList &after)
{
    TargetListDelta delta { before.digest, {}, {} };
    auto next = after.targets.begin();
    for (std::uint32_t n = 0; n < before.targets.size(); ++n) {
        while (next != after.targets.end() && *next < before.targets[n])
            delta.added.push_back(*next++);
        if (next != after.targets.end() && *next == before.targets[n])
            ++next;
        else
            delta.removed.push_back(n);
    }
    delta.added.insert(delta.added.end(), next, after.targets.end());
    return delta;
}

std::vector<ListedTarget> applyDelta(const TargetListDelta &delta, const TargetList &before)
{
    std::vector<ListedTarget> targets = delta.added;
    auto removed = delta.removed.begin();
    for (std::uint32_t n = 0; n < before.targets.size(); ++n) {
        if (removed != delta.removed.end() && *removed == n)
            ++removed;
        else
            targets.push_back(before.targets[n]);
    }
    std::sort(targets.begin(), targets.end());
    return targets;
}

} // namespace

void SharedTargetList::setContent(TargetList list)
{
    if (list.digest == m_list.digest)
        return;
    if (m_list.digest != 0)
        m_previousLists.push_back(std::exchange(m_list, std::move(list)));
    else
        m_list = std::move(list);
    if (m_previousLists.size() > MaxPreviousLists)
        m_previousLists.pop_front();
}

void SharedTargetList::retainColdTimes(std::vector<ListedTarget> &targets, Instant readAt)
{
    std::map<std::string, ColdReading> cold;
    for (auto &it : targets) {
        if (it.coldDuration <= Duration(0))
            continue;
        ColdReading reading { it.coldDuration, readAt };
        const auto known = m_cold.find(it.instance);
        if (known != m_cold.end()) {
            const Duration expected = known->second.coldDuration - (readAt - known->second.readAt);
            if (it.coldDuration >= expected - ColdToleranceBelow
                && it.coldDuration <= expected + ColdToleranceAbove)
                reading = known->second;
        }
        it.coldDuration = reading.coldDuration;
        cold[it.instance] = reading;
    }
    m_cold = std::move(cold);
}

void SharedTargetList::replace(std::vector<ListedTarget> targets, Instant readAt, Instant now)
{
    retainColdTimes(targets, readAt);
    std::sort(targets.begin(), targets.end());
    const std::uint64_t digest = computeDigest(targets);
    setContent({ digest, std::move(targets) });
    m_readAt = readAt;
    m_updatedAt = now;
}

std::optional<TargetList> SharedTargetList::resolveContent(const TargetListReport &report) const
{
    if (report.targets)
        return TargetList { report.digest, *report.targets };
    if (!report.delta || report.delta->base != m_list.digest)
        return std::nullopt;
    auto targets = applyDelta(*report.delta, m_list);
    if (computeDigest(targets) != report.digest)
        return std::nullopt;
    return TargetList { report.digest, std::move(targets) };
}

bool SharedTargetList::isNewer(const TargetListReport &report, Instant now) const noexcept
{
    return report.digest != 0 && (m_readAt == Instant::min() || now - report.age > m_readAt);
}

bool SharedTargetList::needsFullList(const TargetListReport &report, Instant now) const
{
    return isNewer(report, now) && report.digest != m_list.digest && !resolveContent(report);
}

bool SharedTargetList::apply(const TargetListReport &report, Instant now)
{
    if (!isNewer(report, now))
        return false;
    const bool known = report.digest == m_list.digest;
    auto content = known ? std::nullopt : resolveContent(report);
    if (!known && !content)
        return false;
    m_readAt = now - report.age;
    m_updatedAt = now;
    if (known)
        return false;
    setContent(std::move(*content));
    return true;
}

std::optional<TargetListDelta> SharedTargetList::deltaFrom(std::uint64_t knownDigest) const
{
    for (const auto &it : m_previousLists) {
        if (it.digest != knownDigest)
            continue;
        auto delta = computeDelta(it, m_list);
        if (delta.added.size() < m_list.targets.size())
            return delta;
    }
    return std::nullopt;
}

TargetListReport SharedTargetList::report(std::uint64_t knownDigest, Instant now) const
{
    TargetListReport report { m_list.digest, age(now), {}, {} };
    if (m_list.digest == 0 || m_list.digest == knownDigest)
        return report;
    report.delta = deltaFrom(knownDigest);
    if (!report.delta)
        report.targets = m_list.targets;
    return report;
}

Duration SharedTargetList::age(Instant now) const noexcept
{
    return m_readAt == Instant::min() ? NeverRead : now - m_readAt;
}

Duration SharedTargetList::timeSinceUpdate(Instant now) const noexcept
{
    return m_updatedAt == Instant::min() ? NeverRead : now - m_updatedAt;
}

} // namespace ggv
