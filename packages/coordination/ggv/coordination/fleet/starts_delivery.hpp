#pragma once

#include <ggv/state/routing/target_starts.hpp>

#include <cstdint>
#include <vector>

namespace ggv {

//! Decides which starts of targets are sent to one host before each list.
class StartsDelivery
{
public:
    //! @return A delivery that sends all known starts before the first list.
    [[nodiscard]] static StartsDelivery fromFirstList() noexcept;
    //! @return A delivery that sends them before the second list. Between many control hosts the
    //! first one is large and must not be delayed, as they would read the platform's list instead.
    [[nodiscard]] static StartsDelivery fromSecondList() noexcept;

    //! @return The starts to send before the next list: those that changed since the last call.
    [[nodiscard]] std::vector<TargetStart> take(const TargetStarts &starts);

private:
    explicit StartsDelivery(bool isDeferred) noexcept;

    bool m_isDeferred; //!< No starts are sent before the next list.
    std::uint64_t m_sentRevision = 0;
};

} // namespace ggv
