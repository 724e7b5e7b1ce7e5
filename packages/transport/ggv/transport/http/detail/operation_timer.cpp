#include <ggv/transport/http/detail/operation_timer.hpp>

namespace ggv::detail {

OperationTimer::OperationTimer(boost::asio::ip::tcp::socket &socket)
    : m_timer(socket.get_executor())
    , m_shared(std::make_shared<Shared>())
{
    m_shared->socket = &socket;
}

OperationTimer::~OperationTimer() { m_shared->socket = nullptr; }

void OperationTimer::arm(Instant deadline)
{
    const auto generation = ++m_shared->generation;
    m_shared->expired = false;
    m_timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    m_timer.async_wait([shared = m_shared, generation](boost::system::error_code ec) {
        if (ec || shared->socket == nullptr || shared->generation != generation)
            return;
        shared->expired = true;
        boost::system::error_code ignored;
        shared->socket->cancel(ignored);
    });
}

bool OperationTimer::disarm()
{
    ++m_shared->generation;
    return std::exchange(m_shared->expired, false);
}

} // namespace ggv::detail
