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

//! How work at a target ended, as a worker thread saw it.
struct TargetObservation
{
    std::uint32_t target = 0; //!< TargetState::number().
    TargetOutcome outcome = TargetOutcome::Success;
    Instant sentAt {};
    Instant endedAt {};
};

/**
 * @brief Judges all targets from observations, statements, drains and leases.
 *
 * Worker threads add observations without a lock; everything else belongs to the control loop.
 */
class TargetTable
{
public:
    //! @param domain Failure domain of the host.
    explicit TargetTable(FailureDomainName domain);
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    //! Adds an observation from any thread; dropped if too many wait.
    void observe(const TargetObservation &observation) noexcept;
    //! Adds a statement on leaving from any thread; see TargetHealth::observeLeaving().
    void observeLeaving(std::uint32_t target, EvidenceSource source, std::uint64_t stamp,
                        bool isLeaving) noexcept;

    //! Builds the view of a register; targets keep their history.
    [[nodiscard]] std::shared_ptr<const EntryView>
    buildView(const std::shared_ptr<const Register> &content);
    //! Takes in what was observed and publishes limits, health and weights.
    void refresh(Instant now, UnixMillis wallNow);
    //! @return Use of the slots and how many are wanted; resets the count of arrivals.
    [[nodiscard]] std::vector<BudgetDemand> takeDemands(Instant now);
    //! @return True if a request found no free slot since the last call.
    [[nodiscard]] bool takeUnmetDemand();
    //! Lowers or raises the leased slots. @return False if a target has more in flight than that.
    bool applyBudgets(const BudgetHolder &holder, Instant now);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
