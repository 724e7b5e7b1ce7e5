#include <ggv/transport/net/detail/dead_peer_detection.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ggv::detail {

namespace {

constexpr int UserTimeoutMillis = 1000;
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

void setOption(int socket, int level, int name, int value) noexcept
{
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket) noexcept
{
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMillis);
}

} // namespace ggv::detail
