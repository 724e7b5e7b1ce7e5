#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/budget/budget_limits.hpp>
#include <ggv/state/budget/budget_timing.hpp>

#include <memory>
#include <optional>

namespace ggv {

//! Authority of the grantor to issue leases, determined after the request was received.
struct GrantorAuthority
{
    bool leaderLease = false; //!< Whether the leader lease was valid when the request was received.
    std::uint64_t term = 0; //!< Term in which the grantor leads.

    [[nodiscard]] auto operator<=>(const GrantorAuthority &) const = default;
};

//! Proof that the process of a host has stopped: its operating system refused a connection.
struct StopEvidence
{
    HostName host;
    Instant probeSentAt; //!< Time before the connection attempt.
    Instant answeredAt; //!< Time after the refusal was received.

    [[nodiscard]] auto operator<=>(const StopEvidence &) const = default;
};

//! Accounted usage of one budget, for status pages and measurements.
struct BudgetUsage
{
    BudgetUnits limit = 0;
    std::int64_t fixed = 0; //!< Upper bound of the usage of all fixed shares during a new lease.
    std::int64_t leased = 0; //!< Leased units and reported usage that may still be in use.

    [[nodiscard]] auto operator<=>(const BudgetUsage &) const = default;
};

/**
 * @brief Accounts for all budget shares on the grantor and decides about lease requests. Performs
 * no I/O; used from one thread; not replicated.
 *
 * Each member of the control quorum passes every register version to setLimits(), also while it is
 * not the leader, so that it knows the largest share that any host may still have in force.
 */
class BudgetLedger
{
public:
    /**
     * @brief Creates a ledger without limits.
     * @param timing Timing parameters; the same on every host.
     * @return The ledger, or SettingsInvalid.
     */
    [[nodiscard]] static Result<BudgetLedger> create(const BudgetTiming &timing);

    ~BudgetLedger();
    BudgetLedger(BudgetLedger &&other) noexcept;
    BudgetLedger &operator=(BudgetLedger &&other) noexcept;

    /**
     * @brief Applies the limits of a register version.
     * @param limits The limits; ignored if their version is older than the current one.
     */
    void setLimits(const BudgetLimits &limits);

    /**
     * @brief Releases the fixed shares of a removed host whose process is known to have stopped
     * permanently.
     * @param host Name of the host.
     */
    void removeHost(const HostName &host);

    /**
     * @brief Records that a process has stopped; its fixed shares can be lent out until its next
     * process may use them.
     * @param evidence Times of the refused probe.
     */
    void recordStopped(const StopEvidence &evidence);

    /**
     * @brief Decides about a lease request.
     * @param request The request; duplicate and reordered requests are detected.
     * @param receivedAt Time read after the request was read from the connection.
     * @param authority Authority at receivedAt. A term that is new to the ledger starts the grace
     * period, in which existing leases are renewed but no new ones are granted.
     * @return The grant; std::nullopt without authority or if the request is outdated.
     */
    [[nodiscard]] std::optional<LeaseGrant> answer(const LeaseRequest &request, Instant receivedAt,
                                                   const GrantorAuthority &authority);

    /**
     * @brief Returns the newest version whose fixed shares cannot overlap with those of an older
     * version.
     * @param now Current time.
     * @return A version that every host has in force; 0 if none is known. It is distributed with
     * each copy of the register, so that a host that starts while partitioned knows which shares
     * it may use.
     */
    [[nodiscard]] RegisterVersion convergedVersion(Instant now);

    /**
     * @brief Returns the accounted usage of a budget.
     * @param key The budget.
     * @param now Current time.
     * @return The usage; all members are zero for an unknown key.
     */
    [[nodiscard]] BudgetUsage use(const BudgetKey &key, Instant now) const;

private:
    class Implementation;
    explicit BudgetLedger(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
