#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/budget/budget_timing.hpp>

#include <memory>
#include <vector>

namespace ggv {

//! What one host uses and could use of a budget at the moment.
struct BudgetDemand
{
    BudgetKey key;
    BudgetUnits inFlight = 0; //!< Requests in flight; 0 for rates.
    BudgetUnits wanted = 0; //!< Units that could be used now, at least inFlight.

    [[nodiscard]] auto operator<=>(const BudgetDemand &) const = default;
};

//! How a holder starts.
struct BudgetHolderSettings
{
    HostName host;
    std::uint64_t process = 0; //!< See LeaseRequest::process.
    BudgetTiming timing;
    Instant startedAt; //!< Not earlier than the start of the process.
    RegisterVersion registerVersion = 0;
    std::vector<BudgetShare>
        fixed; //!< For each key the least share over all register versions from the last one that
               //!< was known to be in force everywhere up to registerVersion.
};

/**
 * @brief One host's rights: its fixed shares, its leases and its promises. Pure, one thread.
 *
 * Whoever drives it calls request(), lowers the limits of the gates to usable(), and sends the
 * request only if no gate is then above the in-flight count that the request reports; a request
 * that is not sent counts as lost.
 */
class BudgetHolder
{
public:
    /**
     * @brief Creates a holder that uses no fixed share before the promise time has passed or a
     * grant allows it.
     * @param settings Identity, times and first shares.
     * @return The holder, or SettingsInvalid.
     */
    [[nodiscard]] static Result<BudgetHolder> create(BudgetHolderSettings settings);

    ~BudgetHolder();
    BudgetHolder(BudgetHolder &&other) noexcept;
    BudgetHolder &operator=(BudgetHolder &&other) noexcept;

    /**
     * @brief Puts a register version in force; lower shares hold at once, higher ones need a grant.
     * @param version The version; an older one than the current is ignored.
     * @param fixed The host's fixed shares in it.
     */
    void applyRegister(RegisterVersion version, const std::vector<BudgetShare> &fixed);

    /**
     * @brief Makes the next request and the promises in it.
     * @param demands Use and wants, one entry per key; a key that is left out is not used.
     * @param now The instant of sending.
     * @return The request; it may be sent once, to one grantor.
     */
    [[nodiscard]] LeaseRequest request(const std::vector<BudgetDemand> &demands, Instant now);

    /**
     * @brief Takes a grant.
     * @param grant The grant as received.
     * @param now The instant of receipt, read after the grant.
     * @return False if it is late, doubled, out of order or for another process; it then has no
     * effect.
     */
    bool accept(const LeaseGrant &grant, Instant now);

    /**
     * @brief Units that the host may use.
     * @param key The budget.
     * @param now The current instant.
     * @return Fixed and leased units together; new work is admitted only below it.
     */
    [[nodiscard]] BudgetUnits usable(const BudgetKey &key, Instant now) const;

    //! @return The next instant after @p now at which usable() may change by itself, or the
    //! largest.
    [[nodiscard]] Instant nextChange(Instant now) const noexcept;

    //! @return All keys that the host has a fixed share or a lease of.
    [[nodiscard]] std::vector<BudgetKey> keys() const;

    //! @return The register version in force.
    [[nodiscard]] RegisterVersion registerVersion() const noexcept;

private:
    class Implementation;
    explicit BudgetHolder(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
