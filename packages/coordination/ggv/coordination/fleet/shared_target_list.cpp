#include <ggv/coordination/fleet/shared_target_list.hpp>

#include <ggv/protocol/codec/fleet_codec.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr Duration NeverRead = std::chrono::hours(24);
//! Number of earlier lists for which deltas can be computed.
constexpr std::size_t MaxEarlierLists = 32;
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
        m_earlierLists.push_back({ m_list.digest, computeDelta(list, m_list) });
    if (m_earlierLists.size() > MaxEarlierLists)
        m_earlierLists.pop_front();
    m_list = std::move(list);
    m_deltas.clear();
    m_starts.forgetMissing(m_list.targets);
}

TargetList SharedTargetList::listWithStarts() const
{
    TargetList list = m_list;
    m_starts.complete(list.targets);
    return list;
}

bool SharedTargetList::applyStarts(const std::vector<TargetStart> &starts)
{
    bool hasChanged = false;
    for (const auto &it : starts)
        hasChanged = m_starts.record(it) || hasChanged;
    return hasChanged;
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
    for (auto &it : targets)
        m_starts.record({ targetKeyOf(it.instance), std::exchange(it.startedAt, 0) });
    retainColdTimes(targets, readAt);
    std::sort(targets.begin(), targets.end());
    m_receivedDigest = computeDigest(targets);
    setContent({ m_receivedDigest, std::move(targets) });
    m_readAt = readAt;
    m_updatedAt = now;
}

// Returns the list with the digest, null if it is not held. An earlier one is rebuilt in the
// storage.
const TargetList *SharedTargetList::findList(std::uint64_t digest, TargetList &storage) const
{
    if (digest == 0)
        return nullptr;
    for (const auto *it : { &m_list, &m_olderList }) {
        if (it->digest == digest)
            return it;
    }
    const bool isEarlier = std::any_of(m_earlierLists.begin(), m_earlierLists.end(),
                                       [digest](const auto &it) { return it.digest == digest; });
    if (!isEarlier)
        return nullptr;
    storage = m_list;
    for (auto it = m_earlierLists.rbegin(); storage.digest != digest; ++it)
        storage = { it->digest, applyDelta(it->fromSuccessor, storage) };
    return &storage;
}

std::optional<TargetList> SharedTargetList::resolveContent(const TargetListReport &report) const
{
    if (report.targets)
        return TargetList { report.digest, *report.targets };
    TargetList storage;
    const auto *base = findList(report.delta ? report.delta->base : report.digest, storage);
    if (base == nullptr)
        return std::nullopt;
    if (!report.delta)
        return *base;
    auto targets = applyDelta(*report.delta, *base);
    if (computeDigest(targets) != report.digest)
        return std::nullopt;
    return TargetList { report.digest, std::move(targets) };
}

bool SharedTargetList::mayBeNewer(const TargetListReport &report, Instant now) const noexcept
{
    return m_readAt == Instant::min() || now - report.age > m_readAt;
}

bool SharedTargetList::hasReceived(const TargetListReport &report) const noexcept
{
    return report.digest == 0 || report.digest == m_receivedDigest;
}

bool SharedTargetList::apply(const TargetListReport &report, Instant notSentBefore, Instant now)
{
    if (report.digest == 0)
        return false;
    const bool isKnown = report.digest == m_list.digest;
    auto content = isKnown ? std::nullopt : resolveContent(report);
    if (!isKnown && !content)
        return false;
    m_receivedDigest = report.digest;
    if (!mayBeNewer(report, now)) {
        if (content)
            m_olderList = std::move(*content);
        return false;
    }
    m_readAt = std::max(m_readAt, notSentBefore - report.age);
    m_updatedAt = now;
    if (isKnown)
        return false;
    setContent(std::move(*content));
    return true;
}

std::optional<TargetListDelta> SharedTargetList::makeDelta(std::uint64_t knownDigest) const
{
    TargetList storage;
    const auto *base = findList(knownDigest, storage);
    if (base == nullptr)
        return std::nullopt;
    auto delta = computeDelta(*base, m_list);
    if (delta.added.size() >= m_list.targets.size())
        return std::nullopt;
    return delta;
}

const std::optional<TargetListDelta> &SharedTargetList::deltaFrom(std::uint64_t knownDigest)
{
    const auto known = m_deltas.find(knownDigest);
    if (known != m_deltas.end())
        return known->second;
    return m_deltas.emplace(knownDigest, makeDelta(knownDigest)).first->second;
}

TargetListReport SharedTargetList::report(std::uint64_t knownDigest, Instant now)
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
