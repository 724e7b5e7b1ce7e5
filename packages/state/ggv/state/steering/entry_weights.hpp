#pragma once

#include <compare>
#include <cstddef>
#include <span>

namespace ggv {

//! Load and capacity of one service in one failure domain, as last reported.
struct DomainLoad
{
    std::size_t region = 0; //!< Identifies the region; any number that is unique per region.
    double demand = 0.0; //!< Slots that the domain's callers occupy: rate x service time.
    double capacity = 0.0; //!< Slots of its working targets; reduced while it drains.
    bool hasEntryHost = true; //!< The domain has a working entry host that is not leaving.

    [[nodiscard]] auto operator<=>(const DomainLoad &) const noexcept = default;
};

//! Parameters of entryWeights().
struct EntryWeightPolicy
{
    double maximumUtilization = 0.95; //!< Utilization up to which a domain accepts callers of
                                      //!< other domains.

    [[nodiscard]] auto operator<=>(const EntryWeightPolicy &) const noexcept = default;
};

/**
 * @brief Distributes the callers of one failure domain over the entry hosts of all domains.
 *
 * The domain retains what its own capacity can serve. The overflow is assigned to spare capacity in
 * the same region first and then in all other regions, in proportion to that capacity. The load of
 * a lost domain is thus spread over all remaining domains, and callers connect to the other region
 * directly instead of loading the links between regions. What exceeds all spare capacity stays in
 * the domain, where it is shed early.
 *
 * @param domains All failure domains.
 * @param from Index of the callers' domain.
 * @param policy Parameters.
 * @param weights Output: the share of each domain; same size as domains. The sum is 1 unless no
 * domain has an entry host.
 */
void entryWeights(std::span<const DomainLoad> domains, std::size_t from,
                  const EntryWeightPolicy &policy, std::span<double> weights) noexcept;

} // namespace ggv
