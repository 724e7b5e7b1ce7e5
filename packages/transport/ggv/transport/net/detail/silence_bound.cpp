#include <ggv/transport/net/detail/silence_bound.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ggv::detail {

namespace {

constexpr int UnacknowledgedMillis = 1000;
constexpr int ProbeIdleSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int Probes = 2;

void setOption(int socket, int level, int name, int value) noexcept
{
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void boundSilence(boost::asio::ip::tcp::socket &socket) noexcept
{
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, Probes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMillis);
}

} // namespace ggv::detail
