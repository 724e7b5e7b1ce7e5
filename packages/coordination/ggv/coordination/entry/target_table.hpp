#pragma once

#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/health/target_health.hpp>
#include <ggv/state/model/register.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ggv {

//! Outcome of an attempt at a target, reported by a worker thread.
struct TargetObservation
{
    std::uint32_t target = 0; //!< TargetState::number().
    TargetOutcome outcome = TargetOutcome::Success;
    Instant sentAt {};
    Instant endedAt {};
};

/**
 * @brief Tracks health, weight and slot limit of every target, derived from observed outcomes,
 * leaving reports, drains and leases.
 *
 * Worker threads add observations without locking; all other functions run on the control loop.
 */
class TargetTable
{
public:
    //! @param domain Failure domain of the host.
    explicit TargetTable(FailureDomainName domain);
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    //! Queues an observation; thread-safe. Discards it if the queue is full.
    void observe(const TargetObservation &observation) noexcept;
    //! Queues a report on whether a target is leaving; thread-safe. See
    //! TargetHealth::observeLeaving().
    void observeLeaving(std::uint32_t target, EvidenceSource source, std::uint64_t stamp,
                        bool isLeaving) noexcept;

    //! Builds the routing view of a register; recorded state of targets is retained. A target's own
    //! earlier statement that it is leaving ends when its entry returns, has another endpoint or is
    //! no longer marked as leaving.
    [[nodiscard]] std::shared_ptr<const EntryView>
    buildView(const std::shared_ptr<const Register> &content, Instant now);
    //! Processes queued observations and publishes limits, health and weights.
    void refresh(Instant now, UnixMillis wallNow);
    //! @return Slots and rates in use and requested by this host; resets the arrival counts.
    [[nodiscard]] std::vector<BudgetDemand> takeDemands(Instant now);
    //! @return True if a request found no free slot since the previous call.
    [[nodiscard]] bool takeUnmetDemand();
    //! Applies the leased slots and rates. @return False if a target has more requests in flight
    //! than slots leased.
    bool applyBudgets(const BudgetHolder &holder, Instant now);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
