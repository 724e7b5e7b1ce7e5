#pragma once

#include <ggv/state/model/entities.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace ggv::test {

//! An address that refuses connections. Its port stays taken, so that nobody else listens there.
class ClosedPort
{
public:
    explicit ClosedPort(boost::asio::io_context &context)
        : m_acceptor(context, boost::asio::ip::tcp::v4())
    {
        m_acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    boost::asio::ip::tcp::acceptor m_acceptor; //!< Bound, but not listening.
};

} // namespace ggv::test
