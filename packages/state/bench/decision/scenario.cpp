#include "scenario.hpp"

#include <algorithm>

namespace ggv::bench {

namespace {

constexpr Duration SampleInterval = std::chrono::milliseconds(250);

using PerRegion = std::array<double, RegionCount>;

bool contains(const std::vector<std::size_t> &domains, std::size_t domain) noexcept
{
    return std::ranges::find(domains, domain) != domains.end();
}

PerRegion capacityAt(const ServiceModel &service, const Scenario &scenario, Instant now)
{
    PerRegion capacity {};
    const auto mean = std::chrono::duration<double>(service.meanServiceTime).count();
    for (std::size_t n = 0; n < service.targets; ++n) {
        const auto domain = domainOfTarget(n);
        if (scenario.isTargetLost(domain, now))
            continue;
        const double share = scenario.plannedWeight(domain, now) > 0.0 ? 1.0 : 0.0;
        capacity[regionOf(domain)]
            += share * service.slots / (mean * scenario.serviceFactor(n, now));
    }
    return capacity;
}

//! Returns the served rate if each region uses its own capacity first and then shifts up to the
//! cap.
double servedRate(const PerRegion &demand, PerRegion capacity, double cap)
{
    double total = 0.0;
    PerRegion remaining {};
    for (std::size_t n = 0; n < RegionCount; ++n) {
        const double own = std::min(demand[n], capacity[n]);
        total += own;
        remaining[n] = demand[n] - own;
        capacity[n] -= own;
    }
    for (std::size_t from = 0; from < RegionCount; ++from) {
        for (std::size_t to = 0; to < RegionCount; ++to) {
            const double shifted = std::min({ remaining[from], capacity[to], cap });
            total += shifted;
            remaining[from] -= shifted;
            capacity[to] -= shifted;
        }
    }
    return total;
}

double shedRate(const ServiceModel &service, const Scenario &scenario, Instant now, double arrivals)
{
    PerRegion demand {};
    demand.fill(arrivals / RegionCount);
    return arrivals - servedRate(demand, capacityAt(service, scenario, now), service.shiftCap);
}

} // namespace

bool Scenario::isTargetLost(std::size_t domain, Instant now) const noexcept
{
    return now >= FaultStart && contains(lostTargetDomains, domain);
}

bool Scenario::isHostLost(std::size_t domain, Instant now) const noexcept
{
    return now >= FaultStart && contains(lostHostDomains, domain);
}

double Scenario::serviceFactor(std::size_t target, Instant now) const noexcept
{
    const bool isSlow = slowEvery > 0 && target % slowEvery == 0;
    return isSlow && now >= FaultStart && now < slowEnd ? slowFactor : 1.0;
}

double Scenario::plannedWeight(std::size_t domain, Instant now) const noexcept
{
    if (!drain || !drainedRegion || regionOf(domain) != *drainedRegion)
        return 1.0;
    return drainWeight(*drain, toUnixMillis(now));
}

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> result;
    result.push_back({ .name = "steady" });
    result.push_back(
        { .name = "domain-lost", .lostTargetDomains = { 0 }, .lostHostDomains = { 0 } });
    result.push_back(
        { .name = "region-lost", .lostTargetDomains = { 0, 1 }, .lostHostDomains = { 0, 1 } });
    result.push_back({ .name = "region-targets-lost", .lostTargetDomains = { 0, 1 } });
    result.push_back({ .name = "region-drain",
                       .load = 0.55,
                       .drainedRegion = 0,
                       .drain = DrainWindow { 10'000, 30'000 } });
    result.push_back({ .name = "reports-stopped", .reportsStop = true });
    result.push_back({ .name = "third-slow", .load = 0.55, .slowEvery = 3, .slowFactor = 5.0 });
    result.push_back({ .name = "retry-storm",
                       .slowEvery = 1,
                       .slowFactor = 4.0,
                       .slowEnd = Instant(std::chrono::seconds(15)),
                       .callersRetry = true });
    return result;
}

double unavoidableShed(const Deployment &deployment, const Scenario &scenario)
{
    double lost = 0.0;
    double arrived = 0.0;
    for (auto now = WarmUpEnd; now < RunEnd; now += SampleInterval) {
        for (const auto &service : deployment.services) {
            const auto mean = std::chrono::duration<double>(service.meanServiceTime).count();
            const double rate = scenario.load * service.targets * service.slots / mean;
            lost += shedRate(service, scenario, now, rate);
            arrived += rate;
        }
    }
    return std::max(0.0, lost / arrived);
}

} // namespace ggv::bench
