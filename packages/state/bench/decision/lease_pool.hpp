#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ggv::bench {

/**
 * @brief Stand-in for the grantor of one shared limit.
 *
 * A home that wants its part of the limit gets it; the rest follows what all hosts want. The sum of
 * all shares that may still be in use stays within the limit although requests and grants take
 * time.
 */
class LeasePool
{
public:
    /**
     * @brief Creates the pool of one limit.
     * @param limit Units to share.
     * @param homes Hosts that get the units nobody wants, in turn.
     * @param hostCount Number of hosts.
     */
    LeasePool(std::uint32_t limit, std::vector<std::size_t> homes, std::size_t hostCount);

    /**
     * @brief Renews the share of one host.
     * @param host The host.
     * @param held Units that it may still be using.
     * @param wanted Units that it could use.
     * @return Its new share.
     */
    [[nodiscard]] std::uint32_t renew(std::size_t host, std::uint32_t held, std::uint32_t wanted);

    //! Takes back the share of a host whose leases have expired.
    void expire(std::size_t host);

    //! @return Share of a host at the start: the limit split between the homes.
    [[nodiscard]] std::uint32_t initialShare(std::size_t host) const;

private:
    //! Grants of which the host may not have heard yet.
    static constexpr std::size_t UnheardGrants = 3;

    struct Account
    {
        std::uint32_t held = 0;
        std::uint32_t wanted = 0;
        std::vector<std::uint32_t> grants;
    };

    [[nodiscard]] std::uint32_t inUse(const Account &account) const;
    [[nodiscard]] std::uint32_t fairShare(std::size_t host) const;

    std::uint32_t m_limit;
    std::vector<std::size_t> m_homes;
    std::vector<Account> m_accounts;
};

} // namespace ggv::bench
