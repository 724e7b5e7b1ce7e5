#pragma once

#include <ggv/state/core/time.hpp>

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv::detail {

/**
 * @brief Cancels the pending operations of a socket at a deadline, without closing it.
 *
 * Repeats the cancellation until disarm() because a composed operation may start its next step
 * after the first cancellation. Must be used on the event loop of its socket.
 */
class OperationTimer
{
public:
    //! @param socket Socket whose operations are cancelled; must outlive the timer.
    explicit OperationTimer(boost::asio::ip::tcp::socket &socket);
    ~OperationTimer();
    OperationTimer(const OperationTimer &) = delete;
    OperationTimer &operator=(const OperationTimer &) = delete;

    //! Sets the deadline of the subsequent operations.
    void arm(Instant deadline);
    //! Stops the timer. @return True if the deadline passed and operations were cancelled.
    bool disarm();

private:
    struct Shared
    {
        explicit Shared(boost::asio::ip::tcp::socket &owner)
            : socket(&owner)
            , timer(owner.get_executor())
        { }

        boost::asio::ip::tcp::socket *socket;
        boost::asio::steady_timer timer;
        std::uint64_t generation = 0;
        bool expired = false;
    };

    static void scheduleCancel(const std::shared_ptr<Shared> &shared);

    std::shared_ptr<Shared> m_shared;
};

} // namespace ggv::detail
