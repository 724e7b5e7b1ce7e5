#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

/**
 * @brief Time for which a target accepts no requests, as stated in its Retry-After header.
 */
class TargetBackoff
{
public:
    //! Longer statements are cut to this time, so that an error does not exclude a target for good.
    static constexpr Duration MaxTime = std::chrono::minutes(10);

    //! Records a Retry-After of @p retryAfter; a period that ends later stays in force.
    void observe(Duration retryAfter, Instant now) noexcept;
    //! @return True until the period has ended.
    [[nodiscard]] bool isActive(Instant now) const noexcept { return now < m_endsAt; }
    //! @return End of the period; in the past if there is none.
    [[nodiscard]] Instant endsAt() const noexcept { return m_endsAt; }

    [[nodiscard]] auto operator<=>(const TargetBackoff &) const noexcept = default;

private:
    Instant m_endsAt = Instant::min();
};

//! When rejected callers should come back: after @p earliest plus a random part of @p spread.
struct RetryDelay
{
    Duration earliest { 0 };
    Duration spread { 0 };

    [[nodiscard]] auto operator<=>(const RetryDelay &) const noexcept = default;
};

} // namespace ggv
