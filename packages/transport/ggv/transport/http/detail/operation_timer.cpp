#include <ggv/transport/http/detail/operation_timer.hpp>

namespace ggv::detail {

namespace {

constexpr auto CancelRetryInterval = std::chrono::milliseconds(5);

} // namespace

OperationTimer::OperationTimer(boost::asio::ip::tcp::socket &socket)
    : m_shared(std::make_shared<Shared>(socket))
{ }

OperationTimer::~OperationTimer()
{
    m_shared->socket = nullptr;
    m_shared->timer.cancel();
}

void OperationTimer::arm(Instant deadline)
{
    ++m_shared->generation;
    m_shared->expired = false;
    m_shared->timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    scheduleCancel(m_shared);
}

bool OperationTimer::disarm()
{
    ++m_shared->generation;
    return std::exchange(m_shared->expired, false);
}

void OperationTimer::scheduleCancel(const std::shared_ptr<Shared> &shared)
{
    const auto generation = shared->generation;
    shared->timer.async_wait([shared, generation](boost::system::error_code ec) {
        if (ec || shared->socket == nullptr || shared->generation != generation)
            return;
        shared->expired = true;
        boost::system::error_code ignored;
        shared->socket->cancel(ignored);
        shared->timer.expires_after(CancelRetryInterval);
        scheduleCancel(shared);
    });
}

} // namespace ggv::detail
