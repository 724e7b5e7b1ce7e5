#include <ggv/state/admission/wait_queue.hpp>

#include <algorithm>

namespace ggv {

WaitQueue::WaitQueue(const WaitQueuePolicy &policy)
    : m_policy(policy)
{
    m_entries.reserve(policy.capacity);
}

bool WaitQueue::push(const QueueEntry &entry) noexcept
{
    if (m_entries.size() >= m_policy.capacity)
        return false;
    m_entries.push_back(entry);
    return true;
}

std::optional<QueueEntry> WaitQueue::pop(Instant now) noexcept
{
    const auto isLive = [now](const QueueEntry &entry) { return entry.expiresAt > now; };
    if (m_policy.order == QueueOrder::AdaptiveLifo && isOverloaded(now)) {
        const auto it = std::find_if(m_entries.rbegin(), m_entries.rend(), isLive);
        if (it == m_entries.rend())
            return std::nullopt;
        return removeAt(std::prev(it.base()));
    }
    const auto it = std::ranges::find_if(m_entries, isLive);
    if (it == m_entries.end())
        return std::nullopt;
    return removeAt(it);
}

std::optional<QueueEntry> WaitQueue::popExpired(Instant now) noexcept
{
    const auto hasExpired = [now](const QueueEntry &entry) { return entry.expiresAt <= now; };
    const auto it = std::ranges::find_if(m_entries, hasExpired);
    if (it == m_entries.end())
        return std::nullopt;
    return removeAt(it);
}

std::optional<Instant> WaitQueue::nextExpiry() const noexcept
{
    if (m_entries.empty())
        return std::nullopt;
    return std::ranges::min(m_entries, {}, &QueueEntry::expiresAt).expiresAt;
}

bool WaitQueue::remove(std::uint64_t request) noexcept
{
    const auto it = std::ranges::find(m_entries, request, &QueueEntry::request);
    if (it == m_entries.end())
        return false;
    m_entries.erase(it);
    return true;
}

QueueEntry WaitQueue::removeAt(Entries::iterator it) noexcept
{
    const auto entry = *it;
    m_entries.erase(it);
    return entry;
}

bool WaitQueue::isOverloaded(Instant now) const noexcept
{
    return !m_entries.empty() && now - m_entries.front().enqueuedAt >= m_policy.lifoThreshold;
}

} // namespace ggv
