#pragma once

#include <cerrno>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace ggv::test {

//! Timeout of every wait; reached only if the tested code fails.
constexpr int WaitSeconds = 20;

//! How the peer ended a connection.
enum class StreamEnd : std::uint8_t { Closed, Reset, Open };

//! Blocking TCP socket that sends arbitrary bytes.
class RawSocket
{
public:
    explicit RawSocket(boost::asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
        const timeval limit { WaitSeconds, 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    static RawSocket connect(boost::asio::io_context &context, std::uint16_t port)
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::address_v4::loopback(), port });
        return RawSocket(std::move(socket));
    }

    //! Sends bytes; errors are ignored because the peer may have closed the connection.
    void send(std::string_view text)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(text.data(), text.size()), ignored);
    }

    //! Sends what the connection takes without waiting. @return Number of bytes; nullopt if closed.
    std::optional<std::size_t> trySend(std::string_view text)
    {
        const auto n = ::send(m_socket.native_handle(), text.data(), text.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0)
            return static_cast<std::size_t>(n);
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return 0;
        return std::nullopt;
    }

    void shutdownSend()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    bool hasData()
    {
        char byte = 0;
        return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    bool isClosedByPeer()
    {
        char byte = 0;
        const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    //! Reads until the text has been received, the peer closes or the wait times out.
    std::string readUntil(std::string_view text)
    {
        while (m_received.find(text) == std::string::npos && receive())
            ;
        return m_received;
    }

    //! Reads until the peer closes the connection or the wait times out.
    std::string readToEnd()
    {
        while (receive())
            ;
        return m_received;
    }

    int handle() { return m_socket.native_handle(); }
    void clearReceived() { m_received.clear(); }
    StreamEnd streamEnd() const noexcept { return m_streamEnd; }

private:
    // Calls recv() directly because Asio would resume waiting after SO_RCVTIMEO expires.
    bool receive()
    {
        char bytes[4096];
        const auto n = ::recv(m_socket.native_handle(), bytes, sizeof bytes, 0);
        if (n > 0) {
            m_received.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0)
            m_streamEnd = StreamEnd::Closed;
        else if (errno == ECONNRESET)
            m_streamEnd = StreamEnd::Reset;
        return false;
    }

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    StreamEnd m_streamEnd = StreamEnd::Open;
};

} // namespace ggv::test
