#include <ggv/state/routing/target_affinity.hpp>

#include <array>
#include <cmath>

#include <xxhash.h>

namespace ggv {

std::uint64_t affinityDigest(std::string_view text) noexcept
{
    return XXH3_64bits(text.data(), text.size());
}

double rankTarget(std::uint64_t object, std::uint64_t target, double weight) noexcept
{
    constexpr unsigned MantissaShift = 11;
    constexpr double UnitScale = 0x1.0p-53;
    const std::array<std::uint64_t, 2> pair { object, target };
    const std::uint64_t digest = XXH3_64bits(pair.data(), sizeof(pair));
    const double fraction = (static_cast<double>(digest >> MantissaShift) + 0.5) * UnitScale;
    return -std::log(fraction) / weight;
}

} // namespace ggv
