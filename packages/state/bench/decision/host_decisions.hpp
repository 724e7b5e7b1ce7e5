#pragma once

#include "deployment.hpp"

#include <ggv/state/admission/adaptive_limit.hpp>
#include <ggv/state/admission/load_shedder.hpp>
#include <ggv/state/admission/retry_budget.hpp>
#include <ggv/state/admission/retry_storm.hpp>
#include <ggv/state/admission/wait_queue.hpp>
#include <ggv/state/health/target_health.hpp>
#include <ggv/state/steering/drain_schedule.hpp>
#include <ggv/state/steering/slot_demand.hpp>
#include <ggv/state/steering/target_choice.hpp>

#include <optional>
#include <vector>

namespace ggv::bench {

//! Features of the state library that a policy enables.
struct DecisionOptions
{
    //! Limits slots, links and shifts by leases; otherwise only each target's slots are limited.
    bool hasCaps = true;
    bool hasAdmission = true; //!< Queues and sheds early; otherwise sends immediately.
    bool hasDrainSchedule = true; //!< Drains gradually; otherwise immediately at the start.
    bool hasRetryBudget = true;
    QueueOrder queueOrder = QueueOrder::Fifo;
    ShedPolicy shed;
    ChoicePolicy choice;
    AdaptiveLimitPolicy adaptive;
    ShiftRampPolicy ramp;
    bool hasAdaptiveLimit = true;
    DemandPolicy demand;
};

//! Requests/s that may shift, by home region of the callers and region of the targets.
using ShiftShares = std::array<std::array<std::uint32_t, RegionCount>, RegionCount>;

//! Shares of one host in all limits.
struct HostShares
{
    std::array<std::vector<std::uint32_t>, ServiceCount> slots; //!< Indexed by target.
    std::array<ShiftShares, ServiceCount> shifts {};
    std::array<std::uint32_t, RegionCount> links {}; //!< kbit/s towards this host.
};

//! Admission and steering decisions of one entry host, based on the state known to that host.
class HostDecisions
{
public:
    HostDecisions(const Deployment &deployment, const DecisionOptions &options, std::size_t domain,
                  std::uint64_t seed);

    //! @return Targets in order of preference, chosen by the state library.
    [[nodiscard]] TargetOrder chooseByLibrary(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseRandom(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseRoundRobin(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseLeastInFlight(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseLeastReported(std::size_t service, Instant now);

    //! @return Whether an arriving request is admitted, queued or shed.
    [[nodiscard]] AdmissionDecision admit(std::size_t service, bool hasFreeSlot, Duration timeLeft,
                                          Instant now);
    /**
     * @brief Counts a request from a caller of another region against the shift cap.
     * @return False if the cap is reached and the request must be shed.
     */
    [[nodiscard]] bool admitShifted(std::size_t service, std::size_t homeRegion, Instant now);
    //! @return Retry-After value for a shed request.
    [[nodiscard]] Duration retryAfter(std::size_t service, Duration minimumDelay, Instant now);

    void onRequest(std::size_t service, Instant now);
    [[nodiscard]] bool tryRetry(std::size_t service, Instant now);
    void onRequestSent(std::size_t service, std::size_t target, Instant now);
    //! Records that a request ended at the target and released its slot.
    void onSlotReleased(std::size_t service, std::size_t target);
    void onOutcome(std::size_t service, std::size_t target, TargetOutcome outcome, Instant sentAt,
                   Instant now);
    void onAnswerBytes(std::size_t region, double bytes);
    void onLoadReport(std::size_t service, std::size_t target, const TargetLoadReport &report,
                      Instant now);
    void applyShares(const HostShares &shares, Instant requestedAt);
    //! Sets the number of slots that this host may use without a valid lease.
    void setFixedShare(std::size_t service, std::size_t target, std::uint32_t slots)
    {
        m_services[service].targets[target].fixedShare = slots;
    }
    void setDrainWeight(std::size_t service, std::size_t target, double weight);
    void setSpareRegion(std::optional<std::size_t> region) { m_spareRegion = region; }

    //! Shares in use and shares requested from the grantor.
    struct LeaseDemand
    {
        HostShares held;
        HostShares wanted;
    };
    //! @return The demand of the past lease period; starts the next counting period.
    [[nodiscard]] LeaseDemand takeLeaseDemand();

    [[nodiscard]] WaitQueue &queue(std::size_t service) { return m_services[service].queue; }
    [[nodiscard]] std::size_t domain() const noexcept { return m_domain; }
    //! Expires leases and refills the link token buckets.
    void refresh(Instant now);

private:
    //! State of one target as seen by this host.
    struct TargetView
    {
        std::size_t domain = 0;
        Proximity proximity = Proximity::SameDomain;
        Duration roundTrip { 0 };
        std::uint32_t slots = 0;
        std::uint32_t leased = 0;
        std::uint32_t fixedShare = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t reported = 0;
        double drainWeight = 1.0;
        TargetHealth health = TargetHealth::warm();
        AdaptiveLimit limit = AdaptiveLimit::warm();
    };

    //! State of one service as seen by this host.
    struct ServiceView
    {
        std::vector<TargetView> targets;
        WaitQueue queue;
        RetryBudget retries;
        RetryStormGuard stormGuard;
        std::array<std::array<ShiftRamp, RegionCount>, RegionCount> ramps;
        ShiftShares shiftShares {};
        ShiftShares shiftAttempts {}; //!< In the current lease period.
        double serviceTime = 0.0; //!< Moving average in microseconds, including network delay.
        std::uint32_t arrivals = 0; //!< In the current lease period.
        double arrivalRate = 0.0; //!< Moving average, requests/s.
        std::size_t next = 0; //!< Position of the round-robin choice.
    };

    //! Token bucket for the bytes received over one link.
    struct LinkView
    {
        std::uint32_t share = 0; //!< kbit/s.
        double tokens = 0.0; //!< Bytes.
    };

    using Cost = double (HostDecisions::*)(const TargetView &view);

    [[nodiscard]] TargetOrder chooseByCost(std::size_t service, Instant now, Cost cost);
    [[nodiscard]] double randomCost(const TargetView &view);
    [[nodiscard]] double inFlightCost(const TargetView &view);
    [[nodiscard]] double reportedCost(const TargetView &view);
    [[nodiscard]] std::vector<std::size_t> baselineTargets(const ServiceView &view, Instant now);
    [[nodiscard]] std::uint32_t limitOf(std::size_t service, const TargetView &view, Instant now);
    [[nodiscard]] bool isShiftAllowed(std::size_t service, std::size_t region, Instant now);
    [[nodiscard]] std::uint32_t ownRegionSlots(const ServiceView &view) const;
    [[nodiscard]] Duration expectedServiceTime(const ServiceView &view) const;
    void expireShares(Instant now);
    [[nodiscard]] bool isLeaseCandidate(const TargetView &view) const;
    void computeShiftDemand(std::size_t service, HostShares &wanted) const;
    void computeSlotDemand(std::size_t service, HostShares &wanted) const;

    const Deployment &m_deployment;
    DecisionOptions m_options;
    std::size_t m_domain;
    RandomSource m_random;
    std::vector<ServiceView> m_services;
    std::array<LinkView, RegionCount> m_links {};
    std::vector<TargetCandidate> m_candidates;
    std::vector<HealthState> m_states;
    std::optional<std::size_t> m_spareRegion;
    Instant m_sharesRequestedAt {};
    Instant m_refreshedAt {};
};

} // namespace ggv::bench
