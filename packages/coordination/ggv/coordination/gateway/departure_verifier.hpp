#pragma once

#include <ggv/coordination/gateway/gateway_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

/**
 * @brief Asks targets that are excluded as leaving whether they are, if the platform's list has
 * contradicted that for a while.
 *
 * Such a target may have started again under its name, without a start in the list. The only
 * evidence is an answer of its health path that says that it works. The question names the target,
 * so that another one at the address rejects it. Not thread-safe; runs on one event loop.
 */
class DepartureVerifier : public std::enable_shared_from_this<DepartureVerifier>
{
public:
    //! Interval at which targets to ask are searched.
    static constexpr Duration CheckInterval = std::chrono::milliseconds(500);
    //! Maximum random delay of the first question, so that the hosts do not ask all at once.
    static constexpr Duration MaxFirstDelay = std::chrono::seconds(1);
    //! Time between two questions to the same target.
    static constexpr Duration RetryInterval = std::chrono::seconds(2);

    //! @param loop Event loop. @param context Owner of the targets; must live until stop().
    [[nodiscard]] static std::shared_ptr<DepartureVerifier> start(boost::asio::io_context &loop,
                                                                  GatewayContext &context);

    //! Ends the questions; the context is not used any more.
    void stop();

private:
    //! Answer of a target's health path.
    struct HealthAnswer
    {
        std::uint16_t status = 0;
        std::string instance; //!< Name of the target that answered; empty if it did not say.
        Duration coldDuration { 0 }; //!< Time for which it says that it is cold.
    };

    DepartureVerifier(boost::asio::io_context &loop, GatewayContext &context);

    void check();
    void askDueTargets(Instant now);
    [[nodiscard]] static boost::asio::awaitable<void> ask(std::shared_ptr<DepartureVerifier> self,
                                                          PooledTargetRef target, std::string path);
    [[nodiscard]] boost::asio::awaitable<HealthAnswer> fetch(const ListedTarget &target,
                                                             std::string path);

    boost::asio::io_context &m_loop;
    GatewayContext &m_context;
    boost::asio::steady_timer m_timer;
    std::map<std::string, Instant> m_dueAt; //!< Time of the next question, by instance.
    bool m_isStopped = false;
};

} // namespace ggv
