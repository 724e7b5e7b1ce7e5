#include <ggv/state/routing/target_starts.hpp>

#include <set>

#include <xxhash.h>

namespace ggv {

namespace {

//! Starts that are kept in any case, as a start may become known shortly before its target's entry.
constexpr std::size_t MinKeptStarts = 64;

} // namespace

TargetKey targetKeyOf(std::string_view instance) noexcept
{
    return XXH3_64bits(instance.data(), instance.size()) >> (64U - TargetKeyBits);
}

bool TargetStarts::record(const TargetStart &start)
{
    if (start.startedAt <= find(start.target))
        return false;
    m_starts[start.target] = { start.startedAt, ++m_revision };
    return true;
}

UnixMillis TargetStarts::find(TargetKey target) const
{
    const auto it = m_starts.find(target);
    return it == m_starts.end() ? 0 : it->second.startedAt;
}

void TargetStarts::complete(std::vector<ListedTarget> &targets) const
{
    for (auto &it : targets)
        it.startedAt = find(targetKeyOf(it.instance));
}

void TargetStarts::forgetMissing(const std::vector<ListedTarget> &targets)
{
    if (m_starts.size() <= 2 * targets.size() + MinKeptStarts)
        return;
    std::set<TargetKey> listed;
    for (const auto &it : targets)
        listed.insert(targetKeyOf(it.instance));
    std::erase_if(m_starts, [&listed](const auto &it) { return !listed.contains(it.first); });
}

std::vector<TargetStart> TargetStarts::changedSince(std::uint64_t revision) const
{
    std::vector<TargetStart> starts;
    for (const auto &[target, record] : m_starts) {
        if (record.revision > revision)
            starts.push_back({ target, record.startedAt });
    }
    return starts;
}

} // namespace ggv
