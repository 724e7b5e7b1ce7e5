#pragma once

#include <cstdint>
#include <stdexcept>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace ggv::test {

// Returns a port on which the tests can listen later. It lies below the range from which the kernel
// takes ports for outgoing connections, so that none of these takes it in between.
inline std::uint16_t freePort(boost::asio::io_context &context)
{
    using boost::asio::ip::tcp;
    constexpr int FirstPort = 20'000;
    constexpr int PortCount = 10'000;
    static int offset = ::getpid(); // Runners that run at the same time begin elsewhere.
    for (int n = 0; n < PortCount; ++n) {
        const auto port = static_cast<std::uint16_t>(FirstPort + ++offset % PortCount);
        tcp::acceptor acceptor(context, tcp::v4());
        boost::system::error_code ec;
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace ggv::test
