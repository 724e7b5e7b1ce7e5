#pragma once

#include <ggv/state/routing/listed_target.hpp>

#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief Interface for reading the platform's target list; implemented by the platform adapter.
 */
class TargetListReader
{
public:
    virtual ~TargetListReader() = default;

    /**
     * @brief Reads the complete list.
     * @return All targets.
     * @throws Error PeerSilent, TargetConnectionLost, TargetUnreachable or ProtocolViolation;
     * Overloaded if the platform responds with an error status, such as that of its rate limit.
     */
    [[nodiscard]] virtual boost::asio::awaitable<std::vector<ListedTarget>> read() = 0;
};

} // namespace ggv
