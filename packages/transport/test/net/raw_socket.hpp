#pragma once

#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace ggv::test {

//! Limit of every wait; only a fault reaches it.
constexpr int WaitSeconds = 20;

//! How a peer ended a connection.
enum class StreamEnd : std::uint8_t { Closed, Reset, Open };

//! A blocking socket that sends any bytes.
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

    //! Sends; a peer that closed meanwhile is no fault here.
    void send(std::string_view text)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(text.data(), text.size()), ignored);
    }

    void endSending()
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

    //! Reads until the text has come, the peer ends, or the limit.
    std::string readUntil(std::string_view text)
    {
        while (m_received.find(text) == std::string::npos && receive())
            ;
        return m_received;
    }

    //! Reads until the peer ends the connection.
    std::string readToEnd()
    {
        while (receive())
            ;
        return m_received;
    }

    void forget() { m_received.clear(); }
    StreamEnd end() const noexcept { return m_end; }

private:
    // The plain call: the library would wait again after the limit.
    bool receive()
    {
        char bytes[4096];
        const auto n = ::recv(m_socket.native_handle(), bytes, sizeof bytes, 0);
        if (n > 0) {
            m_received.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0)
            m_end = StreamEnd::Closed;
        else if (errno == ECONNRESET)
            m_end = StreamEnd::Reset;
        return false;
    }

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    StreamEnd m_end = StreamEnd::Open;
};

} // namespace ggv::test
