#include <ggv/state/admission/load_shedder.hpp>

#include <algorithm>
#include <cmath>

namespace ggv {

namespace {

Duration scaled(Duration duration, double factor) noexcept
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

AdmissionDecision shed(Duration wait, const ShedPolicy &policy) noexcept
{
    const auto hint = std::clamp(wait, policy.minimumRetryAfter, policy.maximumRetryAfter);
    return { AdmissionAction::Shed, Duration::zero(), hint };
}

} // namespace

Duration expectedWait(const AdmissionLoad &load) noexcept
{
    if (load.slots == 0)
        return Duration::max();
    const double turns = (load.queued + 1.0) / load.slots;
    return scaled(load.serviceTime, turns);
}

AdmissionDecision decideAdmission(const AdmissionLoad &load, Duration timeLeft,
                                  const ShedPolicy &policy) noexcept
{
    const auto wait = expectedWait(load);
    const auto needed = scaled(load.serviceTime, policy.serviceFactor) + policy.margin;
    if (timeLeft < needed)
        return shed(wait, policy);
    if (load.hasFreeSlot && load.queued == 0)
        return { AdmissionAction::Admit, Duration::zero(), Duration::zero() };
    const auto longest = std::min(policy.maximumWait, scaled(load.serviceTime, policy.waitFactor));
    const auto bound = std::min(timeLeft - needed, longest);
    if (wait > bound)
        return shed(wait, policy);
    return { AdmissionAction::Wait, bound, Duration::zero() };
}

} // namespace ggv
