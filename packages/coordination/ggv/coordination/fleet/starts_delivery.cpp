#include <ggv/coordination/fleet/starts_delivery.hpp>

#include <utility>

namespace ggv {

StartsDelivery StartsDelivery::fromFirstList() noexcept { return StartsDelivery(false); }

StartsDelivery StartsDelivery::fromSecondList() noexcept { return StartsDelivery(true); }

StartsDelivery::StartsDelivery(bool isDeferred) noexcept
    : m_isDeferred(isDeferred)
{ }

std::vector<TargetStart> StartsDelivery::take(const TargetStarts &starts)
{
    if (std::exchange(m_isDeferred, false) || m_sentRevision == starts.revision())
        return {};
    return starts.changedSince(std::exchange(m_sentRevision, starts.revision()));
}

} // namespace ggv
