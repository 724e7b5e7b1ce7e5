#include <ggv/state/budget/token_bucket.hpp>

#include <algorithm>
#include <limits>

namespace ggv {

namespace {

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t NanosecondsPerMicrosecond = 1'000;
constexpr std::uint64_t MaxUnitsAtOnce = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t BurstNanoseconds = TokenBucket::MaxBurst.count() * NanosecondsPerMicrosecond;

std::int64_t nanoseconds(Instant instant) noexcept
{
    return instant.time_since_epoch().count() * NanosecondsPerMicrosecond;
}

// Returns the time in which the rate yields the units; rounded up, so that rounding never adds
// units.
std::int64_t timeFor(std::uint64_t units, BudgetUnits unitsPerSecond) noexcept
{
    const std::int64_t rate = unitsPerSecond;
    const auto counted = static_cast<std::int64_t>(std::min(units, MaxUnitsAtOnce));
    return rate == 0 ? 0 : (counted * NanosecondsPerSecond + rate - 1) / rate;
}

} // namespace

bool TokenBucket::hasRate(Instant now) const noexcept
{
    return now.time_since_epoch().count() < m_until.load(std::memory_order_acquire)
        && m_unitsPerSecond.load(std::memory_order_acquire) > 0;
}

// A rate of zero only expires the previous rate, which is still used to convert later charges.
void TokenBucket::setRate(BudgetUnits unitsPerSecond, Instant until, Instant now) noexcept
{
    if (unitsPerSecond == 0) {
        m_until.store(now.time_since_epoch().count(), std::memory_order_release);
        return;
    }
    const BudgetUnits before = m_unitsPerSecond.load(std::memory_order_relaxed);
    const double rateRatio = static_cast<double>(before) / static_cast<double>(unitsPerSecond);
    const std::int64_t start = nanoseconds(now);
    std::int64_t paidAt = m_paidAt.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        const auto debt = static_cast<double>(std::max<std::int64_t>(paidAt - start, 0));
        next = paidAt > start ? start + static_cast<std::int64_t>(debt * rateRatio) : paidAt;
    } while (!m_paidAt.compare_exchange_weak(paidAt, next, std::memory_order_acq_rel));
    m_unitsPerSecond.store(unitsPerSecond, std::memory_order_release);
    m_until.store(until.time_since_epoch().count(), std::memory_order_release);
}

bool TokenBucket::tryAcquire(std::uint64_t units, Instant now) noexcept
{
    if (!hasRate(now))
        return false;
    const std::int64_t start = nanoseconds(now);
    const std::int64_t cost = timeFor(units, m_unitsPerSecond.load(std::memory_order_acquire));
    std::int64_t paidAt = m_paidAt.load(std::memory_order_relaxed);
    while (true) {
        const std::int64_t next = std::max(paidAt, start) + cost;
        const bool full = paidAt <= start;
        if (!full && next > start + BurstNanoseconds)
            return false;
        if (m_paidAt.compare_exchange_weak(paidAt, next, std::memory_order_acq_rel))
            return true;
    }
}

void TokenBucket::charge(std::uint64_t units, Instant now) noexcept
{
    const std::int64_t start = nanoseconds(now);
    const std::int64_t cost = timeFor(units, m_unitsPerSecond.load(std::memory_order_acquire));
    std::int64_t paidAt = m_paidAt.load(std::memory_order_relaxed);
    while (!m_paidAt.compare_exchange_weak(paidAt, std::max(paidAt, start) + cost,
                                           std::memory_order_acq_rel)) { }
}

Duration TokenBucket::waitTime(Instant now) const noexcept
{
    if (!hasRate(now))
        return Duration::max();
    const BudgetUnits rate = m_unitsPerSecond.load(std::memory_order_acquire);
    const std::int64_t excess = m_paidAt.load(std::memory_order_acquire) + timeFor(1, rate)
        - nanoseconds(now) - BurstNanoseconds;
    const std::int64_t untilFull = m_paidAt.load(std::memory_order_acquire) - nanoseconds(now);
    const std::int64_t wait = std::max<std::int64_t>(0, std::min(excess, untilFull));
    return Duration((wait + NanosecondsPerMicrosecond - 1) / NanosecondsPerMicrosecond);
}

} // namespace ggv
