#include <ggv/state/routing/smoothed_load.hpp>

#include <algorithm>
#include <cmath>

namespace ggv {

namespace {

//! Load per slot up to which a target keeps its full share of the objects.
constexpr double FullShareLoad = 0.8;

} // namespace

void SmoothedLoad::observe(double loadPerSlot, Instant now) noexcept
{
    m_average = value(now);
    m_latest = loadPerSlot;
    m_observedAt = now;
}

double SmoothedLoad::value(Instant now) const noexcept
{
    if (m_observedAt == Instant::min())
        return 0.0;
    const auto periods = std::chrono::duration<double>(now - m_observedAt)
        / std::chrono::duration<double>(TimeConstant);
    return m_latest + (m_average - m_latest) * std::exp(-periods);
}

double objectShareFactor(double loadPerSlot, double meanLoadPerSlot) noexcept
{
    const double fullShareLoad = std::max(FullShareLoad, meanLoadPerSlot);
    return 1.0 / (1.0 + std::max(0.0, loadPerSlot - fullShareLoad));
}

} // namespace ggv
