#pragma once

#include <ggv/coordination/gateway/gateway_context.hpp>

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

/**
 * @brief Chooses the targets that a round of probes connects to.
 * @param targets All known targets; leaving ones are not chosen.
 * @param state Suspected: one target of each failure domain. Lost: up to three targets. Open: none.
 * @param random Source of the choice.
 */
[[nodiscard]] std::vector<PooledTargetRef>
chooseProbes(std::vector<PooledTargetRef> targets, TargetPathState state, RandomSource &random);

/**
 * @brief Connects to targets, without sending a request, while an entry host may be cut off from
 * all of them.
 *
 * Logs each change of the belief and reports whether targets are reached. Idle while the path is
 * open. Not thread-safe; runs on one event loop.
 */
class TargetPathProber : public std::enable_shared_from_this<TargetPathProber>
{
public:
    //! Called when no target is reached any more, and when one is reached again.
    using PathChangeHandler = std::function<void(bool reachesTargets)>;

    //! @param loop Event loop. @param context Owner of the belief; must live until stop().
    //! @param onPathChanged Runs on the event loop.
    [[nodiscard]] static std::shared_ptr<TargetPathProber>
    start(boost::asio::io_context &loop, GatewayContext &context, PathChangeHandler onPathChanged);

    //! Ends probing; the context is not used any more.
    void stop();

private:
    struct Round;

    TargetPathProber(boost::asio::io_context &loop, GatewayContext &context,
                     PathChangeHandler onPathChanged);

    void onChange(const TargetPathChange &change);
    [[nodiscard]] static boost::asio::awaitable<void> run(std::shared_ptr<TargetPathProber> self);
    [[nodiscard]] bool isNeeded() const;
    [[nodiscard]] boost::asio::awaitable<void> waitUntilDue();
    [[nodiscard]] boost::asio::awaitable<bool> probeOnce();
    [[nodiscard]] static boost::asio::awaitable<void>
    connect(std::shared_ptr<TargetPathProber> self, std::shared_ptr<Round> round,
            PooledTargetRef target);

    boost::asio::io_context &m_loop;
    GatewayContext &m_context;
    PathChangeHandler m_onPathChanged;
    boost::asio::steady_timer m_timer;
    bool m_isRunning = false;
    bool m_isStopped = false;
};

} // namespace ggv
