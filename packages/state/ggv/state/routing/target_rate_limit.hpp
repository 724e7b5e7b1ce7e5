#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <optional>

namespace ggv {

/**
 * @brief Rate limit that a target states in its answers, as known to one entry host.
 *
 * The limit holds for the requests of all entry hosts together, for as long as the target states
 * it. This host uses its share of it by a token bucket that holds one request, or a short burst of
 * a large share, and is empty when the limit begins.
 */
class TargetRateLimit
{
public:
    //! A limit is forgotten if it was not stated for this long, so that one request finds out
    //! whether it still holds.
    static constexpr Duration StatementLifetime = std::chrono::seconds(30);
    //! While a limit holds, other hosts are told of it at this interval.
    static constexpr Duration ReportInterval = std::chrono::seconds(1);

    //! An answer without a limit ends it only if nobody was told it for this long: answers may be
    //! on their way for a while, and not each of them must state it.
    static constexpr Duration MinSilence = std::chrono::seconds(1);
    //! All hosts together send at least this many requests per second, so that they notice when a
    //! very low limit ends.
    static constexpr double MinRequestsPerSecond = 0.2;

    /**
     * @brief Records what an answer of the target states.
     * @param perSecond Stated limit in requests per second; std::nullopt if the answer states none.
     * @param sentAt Time at which the answered request was sent.
     * @param now Current time.
     * @return True if the limit began, ended or has another value than before.
     */
    bool observe(std::optional<double> perSecond, Instant sentAt, Instant now) noexcept;
    /**
     * @brief Applies what another entry host was told, unless this host was told something later.
     * @param perSecond Limit stated to the other host; std::nullopt if none.
     * @param observedAt Time of the statement.
     * @param now Current time.
     * @return True if the limit began, ended or has another value than before.
     */
    bool apply(std::optional<double> perSecond, Instant observedAt, Instant now) noexcept;
    //! Sets the share of the limit that this host may use, from 0 to 1; std::nullopt if a control
    //! host has not assigned one.
    void setShare(std::optional<double> fraction) noexcept { m_share = fraction; }

    //! @return Limit in requests per second; std::nullopt if none is in force.
    [[nodiscard]] std::optional<double> limit(Instant now) const noexcept;
    //! @return The limit as last stated, also if that was too long ago.
    [[nodiscard]] std::optional<double> statedLimit() const noexcept { return m_perSecond; }
    //! @return Time since the last statement.
    [[nodiscard]] Duration statementAge(Instant now) const noexcept { return now - m_statedAt; }
    //! @return True if other hosts should be told of the limit or of its end.
    [[nodiscard]] bool isReportDue(Instant now) const noexcept;
    //! Records that other hosts are told of the current state.
    void onReported(Instant now) noexcept;

    //! @return Time from which this host may send a request; not after @p now if it may at once,
    //! Instant::max() if it has no share. @param defaultShare Used if no share was assigned.
    [[nodiscard]] Instant availableAt(double defaultShare, Instant now) const noexcept;
    //! Counts a request that is sent; call it only if availableAt() allows one.
    void onSend(double defaultShare, Instant now) noexcept;

    [[nodiscard]] auto operator<=>(const TargetRateLimit &) const noexcept = default;

private:
    [[nodiscard]] double rate(double defaultShare) const noexcept;
    [[nodiscard]] double tokens(double defaultShare, Instant now) const noexcept;
    bool set(std::optional<double> perSecond, Instant statedAt, Instant now) noexcept;

    std::optional<double> m_perSecond;
    Instant m_statedAt = Instant::min();
    std::optional<double> m_reported; //!< Limit that other hosts know.
    Instant m_reportedAt = Instant::min();
    std::optional<double> m_share;
    double m_tokens = 0.0;
    Instant m_refilledAt = Instant::min();
};

} // namespace ggv
