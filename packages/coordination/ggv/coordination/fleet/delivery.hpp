#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <optional>

namespace ggv {

/**
 * @brief Which content a receiver holds and which one is on its way, from what was sent and from
 * the receiver's periodic reports.
 *
 * A report that was sent before an update arrived names the previous content; it is no reason to
 * send the update again.
 */
class Delivery
{
public:
    //! An update counts as lost if the receiver's reports do not change for this long.
    static constexpr Duration LossTimeout = std::chrono::seconds(5);

    //! Records that the content with this id was sent.
    void onSent(std::uint64_t id, Instant now) noexcept;
    //! Records that the receiver reported to hold the content with this id.
    void onReport(std::uint64_t id, Instant now) noexcept;

    //! @return Id of the content that the receiver reported last; 0 if it holds none.
    [[nodiscard]] std::uint64_t held() const noexcept { return m_held.value_or(0); }
    //! @return Id of the content that the receiver will hold once everything has arrived.
    [[nodiscard]] std::uint64_t sent() const noexcept { return m_sent; }
    //! @return True while an update is on its way.
    [[nodiscard]] bool isInFlight() const noexcept { return m_sent != held(); }

private:
    std::optional<std::uint64_t> m_held; //!< Empty before the first report.
    std::uint64_t m_sent = 0;
    Instant m_progressAt = Instant::min(); //!< Last update sent or change of the reports.
};

} // namespace ggv
