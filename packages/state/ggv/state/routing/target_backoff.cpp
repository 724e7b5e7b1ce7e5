#include <ggv/state/routing/target_backoff.hpp>

#include <algorithm>

namespace ggv {

void TargetBackoff::observe(Duration retryAfter, Instant now) noexcept
{
    m_endsAt = std::max(m_endsAt, now + std::clamp(retryAfter, Duration(0), MaxTime));
}

} // namespace ggv
