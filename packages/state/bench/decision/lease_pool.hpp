#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ggv::bench {

/**
 * @brief Model of the grantor of one shared limit.
 *
 * Each home host is granted the units that it requests, up to its initial share. The remaining
 * units are divided among all hosts by demand. Although requests and grants are delayed, the sum of
 * the shares that may still be in use stays within the limit.
 */
class LeasePool
{
public:
    /**
     * @brief Creates the pool of one limit.
     * @param limit Units to divide.
     * @param homes Hosts among which the limit is split initially; they also share unrequested
     * units.
     * @param hostCount Number of hosts.
     */
    LeasePool(std::uint32_t limit, std::vector<std::size_t> homes, std::size_t hostCount);

    /**
     * @brief Renews the share of one host.
     * @param host Index of the host.
     * @param held Units that the host may still be using.
     * @param wanted Units that the host could use.
     * @return New share of the host.
     */
    [[nodiscard]] std::uint32_t renew(std::size_t host, std::uint32_t held, std::uint32_t wanted);

    //! Releases the share of a host whose leases have expired.
    void expire(std::size_t host);

    //! @return Initial share of a host: the limit split evenly among the home hosts.
    [[nodiscard]] std::uint32_t initialShare(std::size_t host) const;

private:
    //! Number of most recent grants that may not have reached the host yet.
    static constexpr std::size_t UndeliveredGrants = 3;

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
