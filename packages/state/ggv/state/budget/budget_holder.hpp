#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/budget/budget_timing.hpp>

#include <memory>
#include <vector>

namespace ggv {

//! Current usage and demand of one host for a budget.
struct BudgetDemand
{
    BudgetKey key;
    BudgetUnits inFlight = 0; //!< Number of requests in flight; 0 for rates.
    BudgetUnits wanted = 0; //!< Units that the host could use now; at least inFlight.

    [[nodiscard]] auto operator<=>(const BudgetDemand &) const = default;
};

//! Initial state of a BudgetHolder.
struct BudgetHolderSettings
{
    HostName host;
    std::uint64_t process = 0; //!< See LeaseRequest::process.
    BudgetTiming timing;
    Instant startedAt; //!< Start of the process or later.
    RegisterVersion registerVersion = 0;
    std::vector<BudgetShare>
        fixed; //!< For each key the smallest share over all register versions from the last one
               //!< known to be in force on every host up to registerVersion.
};

/**
 * @brief Tracks the fixed shares, leases and promises of one host. Performs no I/O; used from one
 * thread.
 *
 * The caller calls request(), lowers the limits of the gates to usable(), and then sends the
 * request only if no gate exceeds the in-flight count that the request reports. A request that is
 * not sent is treated like a lost message.
 */
class BudgetHolder
{
public:
    /**
     * @brief Creates a holder. It uses no fixed share until BudgetTiming::promise has passed since
     * the start or a grant allows it.
     * @param settings Identity, timing and initial shares.
     * @return The holder, or SettingsInvalid.
     */
    [[nodiscard]] static Result<BudgetHolder> create(BudgetHolderSettings settings);

    ~BudgetHolder();
    BudgetHolder(BudgetHolder &&other) noexcept;
    BudgetHolder &operator=(BudgetHolder &&other) noexcept;

    /**
     * @brief Applies a register version. Reduced shares take effect immediately, increased shares
     * require a grant.
     * @param version The version; ignored if older than the current one.
     * @param fixed Fixed shares of the host in this version.
     */
    void applyRegister(RegisterVersion version, const std::vector<BudgetShare> &fixed);

    /**
     * @brief Creates the next lease request and the promises that it contains.
     * @param demands Usage and demand, one entry per key; a missing key means no usage.
     * @param now Time of sending.
     * @return The request; it may be sent only once, to one grantor.
     */
    [[nodiscard]] LeaseRequest request(const std::vector<BudgetDemand> &demands, Instant now);

    /**
     * @brief Applies a grant.
     * @param grant The received grant.
     * @param now Time of receipt, read after the grant.
     * @return False if the grant is expired, duplicate, out of order or for another process; it is
     * then ignored.
     */
    bool accept(const LeaseGrant &grant, Instant now);

    /**
     * @brief Returns the number of units that the host may use.
     * @param key The budget.
     * @param now Current time.
     * @return Sum of fixed and leased units; new requests are admitted only below it.
     */
    [[nodiscard]] BudgetUnits usable(const BudgetKey &key, Instant now) const;

    //! @return Next time after @p now at which usable() may change without a call that modifies
    //! the holder, or Instant::max() if there is none.
    [[nodiscard]] Instant nextChange(Instant now) const noexcept;

    //! @return Keys for which the host has a fixed share or a lease.
    [[nodiscard]] std::vector<BudgetKey> keys() const;

    //! @return The register version in force.
    [[nodiscard]] RegisterVersion registerVersion() const noexcept;

private:
    class Implementation;
    explicit BudgetHolder(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
