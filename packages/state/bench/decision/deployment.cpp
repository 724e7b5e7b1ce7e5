#include "deployment.hpp"

namespace ggv::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double Megabit = 1e6;
constexpr std::uint32_t ConnectionsPerTarget = 330;
constexpr std::array<std::uint32_t, DomainCount> NineHosts { 2, 1, 2, 1, 2, 1 };

ServiceModel quickService(const char *name, std::uint32_t targets, std::uint32_t slots)
{
    return { name,
             targets,
             slots,
             ConnectionsPerTarget,
             milliseconds(25),
             0.6,
             40'000,
             milliseconds(1'000),
             600.0 };
}

ServiceModel slowService(const char *name, std::uint32_t targets, std::uint32_t slots)
{
    return { name,
             targets,
             slots,
             ConnectionsPerTarget,
             milliseconds(60),
             0.6,
             4'000,
             milliseconds(3'000),
             60.0 };
}

} // namespace

Duration Deployment::delay(std::size_t from, std::size_t to) const noexcept
{
    if (from == to)
        return delayWithinDomain;
    return regionOf(from) == regionOf(to) ? delayBetweenDomains : delayBetweenRegions;
}

std::vector<Deployment> deployments()
{
    return {
        { "port-louis",
          { quickService("catalogue", 24, 7), slowService("dispatch", 12, 3) },
          NineHosts,
          280 * Megabit,
          microseconds(100),
          microseconds(500),
          milliseconds(12),
          milliseconds(1) },
        { "zampaviva",
          { quickService("sightings", 20, 5), slowService("microchip", 12, 3) },
          NineHosts,
          4'000 * Megabit,
          microseconds(100),
          microseconds(1'500),
          milliseconds(35),
          milliseconds(3) },
    };
}

} // namespace ggv::bench
