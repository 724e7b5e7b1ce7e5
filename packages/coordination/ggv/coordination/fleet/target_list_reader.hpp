#pragma once

#include <ggv/state/routing/listed_target.hpp>

#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief Reads the platform's list of targets; the adapter of a platform implements it.
 */
class TargetListReader
{
public:
    virtual ~TargetListReader() = default;

    /**
     * @brief Reads the whole list.
     * @return All targets.
     * @throws Error PeerSilent, TargetConnectionLost, TargetUnreachable, ProtocolViolation,
     * Overloaded if the platform refuses for its rate.
     */
    [[nodiscard]] virtual boost::asio::awaitable<std::vector<ListedTarget>> read() = 0;
};

} // namespace ggv
