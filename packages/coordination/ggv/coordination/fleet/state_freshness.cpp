#include <ggv/coordination/fleet/state_freshness.hpp>

namespace ggv {

bool hasCurrentState(const RaftStatus &status, bool hasLeaderLease, Instant now) noexcept
{
    if (status.role == RaftRole::Leader)
        return hasLeaderLease;
    // A member that has never caught up has the earliest instant, which cannot be subtracted.
    return status.leader != 0 && status.caughtUpAt >= now - MaxStateLag;
}

} // namespace ggv
