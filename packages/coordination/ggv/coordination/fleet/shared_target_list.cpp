#include <ggv/coordination/fleet/shared_target_list.hpp>

#include <ggv/protocol/codec/fleet_codec.hpp>

#include <algorithm>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr Duration NeverRead = std::chrono::hours(24);

std::uint64_t digestOf(const std::vector<ListedTarget> &targets)
{
    const Bytes bytes = encodeFleetMessage(TargetListReport { 0, Duration(0), targets });
    return std::max<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size()), 1);
}

} // namespace

void SharedTargetList::replace(std::vector<ListedTarget> targets, Instant readAt)
{
    std::sort(targets.begin(), targets.end());
    m_list.digest = digestOf(targets);
    m_list.targets = std::move(targets);
    m_readAt = readAt;
}

bool SharedTargetList::adopt(const TargetListReport &report, Instant now)
{
    const Instant readAt = now - report.age;
    if (report.digest == 0 || (m_readAt != Instant::min() && readAt <= m_readAt))
        return false;
    const bool known = report.digest == m_list.digest;
    if (!known && !report.targets)
        return false;
    m_readAt = readAt;
    if (known)
        return false;
    m_list = { report.digest, *report.targets };
    return true;
}

TargetListReport SharedTargetList::report(std::uint64_t knownDigest, Instant now) const
{
    TargetListReport report { m_list.digest, age(now), std::nullopt };
    if (m_list.digest != 0 && m_list.digest != knownDigest)
        report.targets = m_list.targets;
    return report;
}

Duration SharedTargetList::age(Instant now) const noexcept
{
    return m_readAt == Instant::min() ? NeverRead : now - m_readAt;
}

} // namespace ggv
