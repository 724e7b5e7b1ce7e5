#include <ggv/state/routing/placement.hpp>

#include <algorithm>

namespace ggv {

namespace {

//! Share of the remaining time that a request of the highest priority may wait for a slot.
constexpr double MaxWaitShare = 0.7;
//! Reduction of that share per priority level.
constexpr double WaitSharePerPriority = 0.1;
//! Factor on the service time for an uncached object: loading it displaces other objects from the
//! target's cache.
constexpr double UnknownPenalty = 3.0;
//! Share of full targets from which no further objects are loaded to relieve others.
constexpr double MaxFullShare = 0.3;
//! Longest service time that is expected for an uncached object, in mean ones.
constexpr double LongServiceTime = 1.2;

//! Expectations for the request at one candidate, in microseconds.
struct Expectation
{
    bool hasObject = false; //!< The target probably has the object in its cache.
    double wait = 0.0;
    double longestService = 0.0;
    double cost = 0.0;
};

bool isFull(const PlacementCandidate &candidate)
{
    return candidate.load >= static_cast<double>(candidate.slots);
}

double fullShare(std::span<const PlacementCandidate> candidates)
{
    const auto full = std::count_if(candidates.begin(), candidates.end(), isFull);
    return static_cast<double>(full) / static_cast<double>(candidates.size());
}

Duration microseconds(double value) { return Duration(static_cast<Duration::rep>(value)); }

double waitFor(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const double slots = candidate.slots;
    const double excess = std::max(0.0, candidate.load + 1.0 - slots);
    return excess / slots * request.serviceTimes.known;
}

Expectation expectationFor(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const auto &times = request.serviceTimes;
    Expectation expected;
    expected.hasObject = probablyHasObject(request, candidate);
    expected.wait = waitFor(request, candidate);
    expected.longestService = expected.hasObject ? times.known : LongServiceTime * times.unknown;
    const double work = expected.hasObject ? times.known : UnknownPenalty * times.unknown;
    expected.cost = expected.wait + work;
    return expected;
}

} // namespace

// The first-ranked target probably has the object, because other hosts send it there.
bool probablyHasObject(const PlacementRequest &request,
                       const PlacementCandidate &candidate) noexcept
{
    return candidate.knowsObject || !request.usesAffinity || candidate.rank == 0;
}

Duration expectedWait(const PlacementRequest &request, const PlacementCandidate &candidate) noexcept
{
    return microseconds(waitFor(request, candidate));
}

std::vector<Placement> placeRequest(const PlacementRequest &request,
                                    std::span<const PlacementCandidate> candidates)
{
    std::vector<Placement> placements;
    if (candidates.empty())
        return placements;
    const auto timeLeft = static_cast<double>(request.timeLeft.count());
    const double waitShare = std::max(0.0, MaxWaitShare - WaitSharePerPriority * request.priority);
    const bool mayLoadObject = fullShare(candidates) <= MaxFullShare;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const Expectation expected = expectationFor(request, candidates[n]);
        const bool mayServe = expected.hasObject || (mayLoadObject && expected.wait <= 0.0);
        const bool endsInTime = expected.wait + expected.longestService <= timeLeft;
        if (mayServe && endsInTime && expected.wait <= waitShare * timeLeft)
            placements.push_back({ n, microseconds(expected.wait), microseconds(expected.cost) });
    }
    std::stable_sort(
        placements.begin(), placements.end(),
        [](const Placement &one, const Placement &other) { return one.cost < other.cost; });
    return placements;
}

} // namespace ggv
