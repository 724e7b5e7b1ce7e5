#pragma once

#include <compare>
#include <cstddef>
#include <span>

namespace ggv {

//! Load and capacity of one service in one failure domain, as last reported.
struct DomainLoad
{
    std::size_t region = 0; //!< The caller's own number for the region.
    double demand = 0.0; //!< Slots that the domain's callers keep in use: rate x service time.
    double capacity = 0.0; //!< Slots of its working targets; less while it drains.
    bool hasEntryHost = true; //!< An entry host of the domain works and is not leaving.

    [[nodiscard]] auto operator<=>(const DomainLoad &) const noexcept = default;
};

//! Parameters of entryWeights().
struct EntryWeightPolicy
{
    double maximumUtilization
        = 0.95; //!< Share of the capacity that callers of other domains may fill up to.

    [[nodiscard]] auto operator<=>(const EntryWeightPolicy &) const noexcept = default;
};

/**
 * @brief Splits the callers of one failure domain over the entry hosts of all domains.
 *
 * The domain keeps what its capacity serves. The rest goes to the spare capacity of the own region
 * and then of all other regions, in proportion to it, so that a lost domain's work is spread over
 * all survivors and takes the callers' own way rather than the links between regions. What fits
 * nowhere stays where it is, to be shed there early.
 *
 * @param domains All failure domains.
 * @param from Position of the callers' domain.
 * @param policy Parameters.
 * @param weights Receives the share of each domain; as long as domains. The sum is 1 unless no
 * domain has an entry host.
 */
void entryWeights(std::span<const DomainLoad> domains, std::size_t from,
                  const EntryWeightPolicy &policy, std::span<double> weights) noexcept;

} // namespace ggv
