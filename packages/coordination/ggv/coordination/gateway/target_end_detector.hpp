#pragma once

#include <ggv/state/quarantine/request_fingerprint.hpp>
#include <ggv/state/routing/listed_target.hpp>
#include <ggv/transport/http/http_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

//! A target's process ended while it held requests of this host.
struct TargetEnd
{
    ListedTarget target;
    std::vector<RequestFingerprint> requests; //!< Requests that were lost with it.
    Instant firstLossAt; //!< Time of the first lost request.
};

/**
 * @brief Finds out whether a target that lost requests has ended or only lost their connections.
 *
 * Connects to the target once after the first loss: only a refused connection shows that nothing
 * listens there any more. Not thread-safe; runs on one event loop.
 */
class TargetEndDetector : public std::enable_shared_from_this<TargetEndDetector>
{
public:
    //! Time from the first lost request of a target to the check, in which others are collected.
    static constexpr Duration CheckDelay = std::chrono::milliseconds(50);
    //! Requests recorded for one target; further ones are not.
    static constexpr std::size_t MaxRequests = 64;
    //! Targets checked at the same time; losses at further ones are not recorded.
    static constexpr std::size_t MaxTargets = 64;

    using Handler = std::function<void(const TargetEnd &)>;

    //! @param loop Event loop. @param connections Opens the connections.
    [[nodiscard]] static std::shared_ptr<TargetEndDetector> create(boost::asio::io_context &loop,
                                                                   HttpClientPool &connections);

    //! Sets the function that is called for each target that ended. Runs on the event loop.
    void setHandler(Handler onTargetEnded) { m_onTargetEnded = std::move(onTargetEnded); }
    //! Records that a connection broke before the target answered a request that was sent to it.
    void observeLoss(const ListedTarget &target, RequestFingerprint request);
    //! Ends all checks; the connections are not used any more.
    void stop() noexcept { m_connections = nullptr; }

private:
    TargetEndDetector(boost::asio::io_context &loop, HttpClientPool &connections);

    [[nodiscard]] static boost::asio::awaitable<void> check(std::shared_ptr<TargetEndDetector> self,
                                                            ListedTarget target);
    [[nodiscard]] boost::asio::awaitable<bool> isRefused(Endpoint endpoint);

    boost::asio::io_context &m_loop;
    HttpClientPool *m_connections;
    Handler m_onTargetEnded = [](const TargetEnd &) {};
    std::map<std::string, std::vector<RequestFingerprint>> m_losses; //!< By instance to be checked.
};

} // namespace ggv
