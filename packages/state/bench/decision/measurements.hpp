#pragma once

#include "scenario.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace ggv::bench {

//! Outcome of a caller's request.
enum class RequestOutcome : std::uint8_t {
    Served,
    Shed, //!< Rejected by the entry host without being executed.
    Failed, //!< No target answered, or a target refused the request.
    Late, //!< No complete answer by the deadline.
    Lost, //!< The entry host or target failed while handling the request.
};

constexpr std::size_t RequestOutcomeCount = 5;

//! Results of one simulation run.
struct RunResults
{
    //! Percentiles in milliseconds as seen by callers.
    struct Latency
    {
        double p50 = 0.0;
        double p99 = 0.0;
        double p999 = 0.0;
    };

    std::array<Latency, ServiceCount> latency;
    std::uint64_t requests = 0;
    std::array<double, RequestOutcomeCount> outcomePercent {};
    double unavoidablePercent = 0.0;
    double peakLinkPercent = 0.0; //!< Maximum utilization of a link in one second.
    //! Maximum slot utilization of a region, averaged over 1 s and including queued requests.
    double peakRegionPercent = 0.0;
    double peakShiftPercent = 0.0; //!< Maximum shift rate relative to its cap.
    std::uint64_t capViolations = 0; //!< Shifted requests that exceeded the cap within one second.
    //! Requests that arrived when all slots of the target were in use.
    std::uint64_t slotOverloads = 0;
    //! Seconds, summed over all links, in which the offered load exceeded the link's capacity.
    std::uint64_t linkOverloads = 0;
    //! Time of the last request sent to a drained target, in seconds from the start of the drain; 0
    //! without a drain.
    double lastSendToDrained = 0.0;
    double lastFinishAtDrained = 0.0; //!< Likewise for the last request that ended.
    //! Requests sent to a drained target after the end of the drain.
    double lateSendsToDrained = 0.0;
    //! Seconds from the end of a slow period until at least 99% are served in every later second.
    double recoverySeconds = 0.0;
    double attemptsPerRequest = 0.0; //!< Caller attempts per request.
};

//! Collects the measurements of one run.
class Measurements
{
public:
    Measurements(const Deployment &deployment, const Scenario &scenario);

    void onCreated(Instant at);
    //! Records a caller attempt that reaches an entry host.
    void onAttempt(Instant at);
    void onAttemptFinished(RequestOutcome outcome, Instant at);
    //! Records the final outcome of a request after all caller attempts.
    void onRequestFinished(std::size_t service, RequestOutcome outcome, Instant createdAt,
                           Instant at);
    void onLinkBytes(std::size_t from, std::size_t to, double bytes, Instant at);
    void onShift(std::size_t service, std::size_t from, std::size_t to, Instant at);
    void onSlotOverload(Instant at);
    void onRegionUse(std::size_t region, double use, Instant at);
    void onSentToTarget(std::size_t domain, Instant at);
    void onTargetFinished(std::size_t domain, Instant at);

    [[nodiscard]] RunResults results() const;

private:
    static constexpr std::size_t Seconds = 60;
    using PerSecond = std::array<double, Seconds>;

    [[nodiscard]] bool isDrained(std::size_t domain) const;
    [[nodiscard]] double recoverySeconds() const;
    [[nodiscard]] RunResults::Latency latencyOf(std::size_t service) const;
    void fillLinks(RunResults &results) const;

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    std::array<std::vector<double>, ServiceCount> m_latencies;
    std::array<std::uint64_t, RequestOutcomeCount> m_outcomes {};
    std::array<std::array<PerSecond, RegionCount>, RegionCount> m_linkBytes {};
    std::array<PerSecond, RegionCount> m_regionUse {};
    std::array<PerSecond, RegionCount> m_regionSamples {};
    PerSecond m_servedAttempts {};
    PerSecond m_endedAttempts {};
    std::array<std::array<std::array<std::deque<Instant>, RegionCount>, RegionCount>, ServiceCount>
        m_shifts;
    double m_peakShift = 0.0;
    std::uint64_t m_capViolations = 0;
    std::uint64_t m_slotOverloads = 0;
    std::uint64_t m_created = 0;
    std::uint64_t m_createdSinceFault = 0;
    std::uint64_t m_attemptsSinceFault = 0;
    std::uint64_t m_lateSendsToDrained = 0;
    Instant m_lastSendToDrained {};
    Instant m_lastFinishAtDrained {};
};

} // namespace ggv::bench
