#include <ggv/transport/net/detail/dead_peer_detection.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ggv::detail {

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;

void setOption(int socket, int level, int name, int value) noexcept
{
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket, Duration limit) noexcept
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis));
}

} // namespace ggv::detail
