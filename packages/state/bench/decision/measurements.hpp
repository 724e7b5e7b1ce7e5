#pragma once

#include "scenario.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace ggv::bench {

//! How a caller's request ended.
enum class Ending : std::uint8_t {
    Served,
    Shed, //!< Answered "not run" by the entry host.
    Failed, //!< No target answered, or a target refused it.
    Late, //!< No whole answer by the deadline.
    Lost, //!< Its entry host or target died with it.
};

constexpr std::size_t EndingCount = 5;

//! The figures of one run.
struct Figures
{
    struct Latency
    {
        double p50 = 0.0; //!< Milliseconds, seen by callers, as are the others.
        double p99 = 0.0;
        double p999 = 0.0;
    };

    std::array<Latency, ServiceCount> latency;
    std::uint64_t requests = 0;
    std::array<double, EndingCount> endingPercent {};
    double unavoidablePercent = 0.0;
    double peakLinkPercent = 0.0; //!< Greatest use of a link in one second.
    double peakRegionPercent = 0.0; //!< Greatest use of a region's slots in one second, queues too.
    double peakShiftPercent = 0.0; //!< Greatest shift in one second relative to its cap.
    std::uint64_t capViolations = 0; //!< Shifted requests over the cap of a second.
    std::uint64_t slotOverloads = 0; //!< Requests that found all slots of their target in use.
    std::uint64_t linkOverloads = 0; //!< Seconds in which a link was offered more than it carries.
    double lastNewWork = 0.0; //!< Seconds from the decision to drain; 0 without a drain.
    double lastRequest = 0.0; //!< Seconds from the decision to drain.
    double lateNewWork = 0.0; //!< Requests sent to a drained target after its time.
    double recovery = 0.0; //!< Seconds from the end of a slow period until 99% are served for good.
    double amplification = 0.0; //!< Attempts of callers per request.
};

//! Collects what happens in one run.
class Measurements
{
public:
    Measurements(const Deployment &deployment, const Scenario &scenario);

    void onCreated(Instant at);
    //! Notes an attempt of a caller that reaches an entry host.
    void onAttempt(Instant at);
    void onAttemptEnded(Ending ending, Instant at);
    //! Notes the end of a request.
    void onEnded(std::size_t service, Ending ending, Instant createdAt, Instant at);
    void onLinkBytes(std::size_t from, std::size_t to, double bytes, Instant at);
    void onShift(std::size_t service, std::size_t from, std::size_t to, Instant at);
    void onSlotOverload(Instant at);
    void onRegionUse(std::size_t region, double use, Instant at);
    void onWorkSent(std::size_t domain, Instant at);
    void onWorkEnded(std::size_t domain, Instant at);

    [[nodiscard]] Figures figures() const;

private:
    static constexpr std::size_t Seconds = 60;
    using PerSecond = std::array<double, Seconds>;

    [[nodiscard]] bool isDrained(std::size_t domain) const;
    [[nodiscard]] double recovery() const;
    [[nodiscard]] Figures::Latency latencyOf(std::size_t service) const;
    void fillLinks(Figures &figures) const;

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    std::array<std::vector<double>, ServiceCount> m_latencies;
    std::array<std::uint64_t, EndingCount> m_endings {};
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
    std::uint64_t m_lateNewWork = 0;
    Instant m_lastNewWork {};
    Instant m_lastRequest {};
};

} // namespace ggv::bench
