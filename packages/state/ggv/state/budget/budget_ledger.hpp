#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/budget/budget_limits.hpp>
#include <ggv/state/budget/budget_timing.hpp>

#include <memory>
#include <optional>

namespace ggv {

//! The right to grant, read after the request that it is used for.
struct GrantorAuthority
{
    bool leaderLease = false; //!< Whether the leader lease held at the receive instant.
    std::uint64_t term = 0; //!< Of the leadership.

    [[nodiscard]] auto operator<=>(const GrantorAuthority &) const = default;
};

//! Positive evidence that a host's process has stopped: its operating system refused a connection.
struct StopEvidence
{
    HostName host;
    Instant probeSentAt; //!< Before the refusal.
    Instant answeredAt; //!< After the refusal.

    [[nodiscard]] auto operator<=>(const StopEvidence &) const = default;
};

//! What the grantor counts for one budget; for status pages and measurements.
struct BudgetUsage
{
    BudgetUnits limit = 0;
    std::int64_t fixed = 0; //!< Largest fixed use of all hosts for as long as a new lease counts.
    std::int64_t leased = 0; //!< All leases and reported use that may still be in use.

    [[nodiscard]] auto operator<=>(const BudgetUsage &) const = default;
};

/**
 * @brief The grantor's account of all shares. Pure, one thread, never replicated.
 *
 * Each member of the control quorum feeds setLimits() with every register version, also while it
 * is not the leader, so that it knows the largest share that any host may still have in force.
 */
class BudgetLedger
{
public:
    /**
     * @brief Creates an account without limits.
     * @param timing Agreed times.
     * @return The ledger, or SettingsInvalid.
     */
    [[nodiscard]] static Result<BudgetLedger> create(const BudgetTiming &timing);

    ~BudgetLedger();
    BudgetLedger(BudgetLedger &&other) noexcept;
    BudgetLedger &operator=(BudgetLedger &&other) noexcept;

    /**
     * @brief Puts the limits of a register version in force.
     * @param limits The limits; an older version than the current is ignored.
     */
    void setLimits(const BudgetLimits &limits);

    /**
     * @brief Stops counting a removed host whose process is known to be gone for good.
     * @param host The host.
     */
    void removeHost(const HostName &host);

    /**
     * @brief Takes evidence that a process has stopped; it frees the fixed share for a while.
     * @param evidence What was observed.
     */
    void recordStopped(const StopEvidence &evidence);

    /**
     * @brief Decides about a request.
     * @param request The request; doubled and reordered ones are recognised.
     * @param receivedAt Read after the request was read from the connection.
     * @param authority The right to grant at receivedAt. A term that is new to the ledger starts
     * the grace time in which leases are renewed and nothing new is granted.
     * @return The grant, or nothing if there is no right to grant or the request is outdated.
     */
    [[nodiscard]] std::optional<LeaseGrant> answer(const LeaseRequest &request, Instant receivedAt,
                                                   const GrantorAuthority &authority);

    /**
     * @brief Newest version whose fixed shares cannot overlap with those of an older one.
     * @param now The current instant.
     * @return A version that every host has in force; 0 if none is known. It goes with each copy
     * of the register, so that a host that starts while it is cut off knows which shares are safe.
     */
    [[nodiscard]] RegisterVersion convergedVersion(Instant now);

    /**
     * @brief What is counted for a budget.
     * @param key The budget.
     * @param now The current instant.
     * @return Zero everywhere for an unknown key.
     */
    [[nodiscard]] BudgetUsage use(const BudgetKey &key, Instant now) const;

private:
    class Implementation;
    explicit BudgetLedger(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
