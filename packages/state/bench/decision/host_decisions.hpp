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

//! What is used of the core.
struct DecisionOptions
{
    bool hasCaps = true; //!< Leased slots, links and shifts; else only the target's own slots.
    bool hasAdmission = true; //!< Queue and early shedding; else everything is sent at once.
    bool hasDrainSchedule = true; //!< Drains by schedule; else at once when they start.
    bool hasRetryBudget = true;
    QueueOrder queueOrder = QueueOrder::Fifo;
    ShedPolicy shed;
    ChoicePolicy choice;
    AdaptiveLimitPolicy adaptive;
    ShiftRampPolicy ramp;
    bool hasAdaptiveLimit = true;
    DemandPolicy demand;
};

//! Requests/s that may move, by home region of the callers and region of the targets.
using ShiftShares = std::array<std::array<std::uint32_t, RegionCount>, RegionCount>;

//! Shares of all limits of one host.
struct HostShares
{
    std::array<std::vector<std::uint32_t>, ServiceCount> slots; //!< By target.
    std::array<ShiftShares, ServiceCount> shifts {};
    std::array<std::uint32_t, RegionCount> links {}; //!< kbit/s towards this host.
};

//! The decisions of one entry host, made by the core from what this host knows.
class HostDecisions
{
public:
    HostDecisions(const Deployment &deployment, const DecisionOptions &options, std::size_t domain,
                  std::uint64_t seed);

    [[nodiscard]] TargetOrder chooseOwn(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseRandom(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseRoundRobin(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseLeastInFlight(std::size_t service, Instant now);
    [[nodiscard]] TargetOrder chooseLeastReported(std::size_t service, Instant now);

    //! @return What to do with a request that arrives.
    [[nodiscard]] AdmissionDecision admit(std::size_t service, bool hasFreeSlot, Duration timeLeft,
                                          Instant now);
    /**
     * @brief Counts a request of another region's caller against the shift to this region.
     * @return False if the cap is reached, so that the request must be shed.
     */
    [[nodiscard]] bool admitGuest(std::size_t service, std::size_t homeRegion, Instant now);
    //! @return Retry-After for a request that is shed.
    [[nodiscard]] Duration retryAfter(std::size_t service, Duration shortest, Instant now);

    void onRequest(std::size_t service, Instant now);
    [[nodiscard]] bool tryRetry(std::size_t service, Instant now);
    void onSent(std::size_t service, std::size_t target, Instant now);
    //! Notes the end of a request at the target, which frees its slot.
    void onFreed(std::size_t service, std::size_t target);
    void onOutcome(std::size_t service, std::size_t target, TargetOutcome outcome, Instant sentAt,
                   Instant now);
    void onAnswerBytes(std::size_t region, double bytes);
    void onReport(std::size_t service, std::size_t target, const TargetLoadReport &report,
                  Instant now);
    void onShares(const HostShares &shares, Instant requestedAt);
    //! Sets the slots that this host may use without a live lease.
    void onFixedShare(std::size_t service, std::size_t target, std::uint32_t slots)
    {
        m_services[service].targets[target].fixedShare = slots;
    }
    void onDrain(std::size_t service, std::size_t target, double weight);
    void onSpareRegion(std::optional<std::size_t> region) { m_spareRegion = region; }

    //! What this host asks the grantor for; starts a new period of counting.
    struct Wants
    {
        HostShares held;
        HostShares wanted;
    };
    [[nodiscard]] Wants takeWants();

    [[nodiscard]] WaitQueue &queue(std::size_t service) { return m_services[service].queue; }
    [[nodiscard]] std::size_t domain() const noexcept { return m_domain; }
    //! Updates the shares that depend on time, such as expired leases.
    void refresh(Instant now);

private:
    //! What this host knows of one target.
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

    //! What this host knows of one service.
    struct ServiceView
    {
        std::vector<TargetView> targets;
        WaitQueue queue;
        RetryBudget retries;
        RetryStormGuard storm;
        std::array<std::array<ShiftRamp, RegionCount>, RegionCount> ramps;
        ShiftShares shiftShares {};
        ShiftShares shiftTries {}; //!< In this period.
        double serviceTime = 0.0; //!< Recent, in microseconds, network included.
        std::uint32_t arrivals = 0; //!< In this period.
        double arrivalRate = 0.0; //!< Recent, per second.
        std::size_t next = 0; //!< For round robin.
    };

    //! Bytes that may still come over one link.
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
    [[nodiscard]] bool mayShift(std::size_t service, std::size_t region, Instant now);
    [[nodiscard]] std::uint32_t nearSlots(const ServiceView &view) const;
    [[nodiscard]] Duration expectedServiceTime(const ServiceView &view) const;
    void expireShares(Instant now);
    [[nodiscard]] bool isWanted(const TargetView &view) const;
    void wantShifts(std::size_t service, HostShares &wanted) const;
    void wantSlots(std::size_t service, HostShares &wanted) const;

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
