#include "lease_pool.hpp"

#include <algorithm>

namespace ggv::bench {

LeasePool::LeasePool(std::uint32_t limit, std::vector<std::size_t> homes, std::size_t hostCount)
    : m_limit(limit)
    , m_homes(std::move(homes))
    , m_accounts(hostCount)
{
    for (std::size_t n = 0; n < hostCount; ++n)
        m_accounts[n].grants.assign(UndeliveredGrants, initialShare(n));
}

std::uint32_t LeasePool::renew(std::size_t host, std::uint32_t held, std::uint32_t wanted)
{
    auto &account = m_accounts[host];
    account.held = held;
    account.wanted = wanted;
    std::uint32_t others = 0;
    for (std::size_t n = 0; n < m_accounts.size(); ++n)
        others += n == host ? 0 : inUse(m_accounts[n]);
    const auto available = m_limit - std::min(m_limit, others);
    const auto grant = std::min(fairShare(host), available);
    account.grants.erase(account.grants.begin());
    account.grants.push_back(grant);
    return grant;
}

void LeasePool::expire(std::size_t host)
{
    m_accounts[host] = {};
    m_accounts[host].grants.assign(UndeliveredGrants, 0);
}

std::uint32_t LeasePool::initialShare(std::size_t host) const
{
    const auto it = std::ranges::find(m_homes, host);
    if (it == m_homes.end())
        return 0;
    const auto count = static_cast<std::uint32_t>(m_homes.size());
    const auto position = static_cast<std::uint32_t>(it - m_homes.begin());
    return m_limit / count + (position < m_limit % count ? 1 : 0);
}

std::uint32_t LeasePool::inUse(const Account &account) const
{
    return std::max(account.held, std::ranges::max(account.grants));
}

std::uint32_t LeasePool::fairShare(std::size_t host) const
{
    std::vector<std::uint32_t> shares(m_accounts.size(), 0);
    std::uint32_t remaining = m_limit;
    for (const auto home : m_homes) {
        shares[home] = std::min(m_accounts[home].wanted, initialShare(home));
        remaining -= shares[home];
    }
    for (bool hasProgress = true; hasProgress && remaining > 0;) {
        hasProgress = false;
        const auto unsatisfied
            = static_cast<std::uint32_t>(std::ranges::count_if(m_accounts, [&](const Account &it) {
                  return it.wanted > shares[static_cast<std::size_t>(&it - m_accounts.data())];
              }));
        const auto increment
            = std::max<std::uint32_t>(1, unsatisfied > 0 ? remaining / unsatisfied : 1);
        for (std::size_t n = 0; n < shares.size() && remaining > 0; ++n) {
            const auto wanted = m_accounts[n].wanted;
            const auto step
                = std::min({ increment, remaining, wanted - std::min(wanted, shares[n]) });
            shares[n] += step;
            remaining -= step;
            hasProgress = hasProgress || step > 0;
        }
    }
    const auto it = std::ranges::find(m_homes, host);
    if (remaining == 0 || it == m_homes.end())
        return shares[host];
    const auto count = static_cast<std::uint32_t>(m_homes.size());
    const auto position = static_cast<std::uint32_t>(it - m_homes.begin());
    return shares[host] + remaining / count + (position < remaining % count ? 1 : 0);
}

} // namespace ggv::bench
