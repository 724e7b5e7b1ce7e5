#pragma once

#include <ggv/state/model/entities.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace ggv::test {

/**
 * @brief Loopback proxy whose connections carry a limited number of bytes per second towards the
 * client, like one slow link.
 */
class ThrottledProxy
{
public:
    ThrottledProxy(boost::asio::io_context &context, Endpoint server, std::size_t bytesPerSecond)
        : m_context(context)
        , m_server(std::move(server))
        , m_rate(std::make_shared<std::size_t>(bytesPerSecond))
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        accept();
    }

    ggv::Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    void setRate(std::size_t bytesPerSecond) { *m_rate = bytesPerSecond; }
    //! Closes all connections; new ones are accepted.
    void closeConnections()
    {
        boost::system::error_code ignored;
        for (const auto &it : m_sockets)
            it->close(ignored);
        m_sockets.clear();
    }

private:
    using tcp = boost::asio::ip::tcp;

    //! Copies one direction of a connection.
    struct Pipe : std::enable_shared_from_this<Pipe>
    {
        static constexpr std::size_t ChunkBytes = 2048;

        Pipe(std::shared_ptr<tcp::socket> source, std::shared_ptr<tcp::socket> sink,
             std::shared_ptr<std::size_t> bytesPerSecond)
            : from(std::move(source))
            , to(std::move(sink))
            , rate(std::move(bytesPerSecond))
            , pause(from->get_executor())
        { }

        void read()
        {
            from->async_read_some(boost::asio::buffer(bytes),
                                  [self = shared_from_this()](auto ec, std::size_t n) {
                                      if (!self->closeOn(ec))
                                          self->write(n);
                                  });
        }

        void write(std::size_t n)
        {
            boost::asio::async_write(*to, boost::asio::buffer(bytes, n),
                                     [self = shared_from_this()](auto ec, std::size_t written) {
                                         if (!self->closeOn(ec))
                                             self->wait(written);
                                     });
        }

        void wait(std::size_t n)
        {
            if (!rate)
                return read();
            pause.expires_after(std::chrono::microseconds(n * 1'000'000 / *rate));
            pause.async_wait([self = shared_from_this()](auto) { self->read(); });
        }

        // Closes both sides after an error.
        bool closeOn(const boost::system::error_code &ec)
        {
            boost::system::error_code ignored;
            if (ec) {
                from->close(ignored);
                to->close(ignored);
            }
            return ec.failed();
        }

        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        std::shared_ptr<std::size_t> rate; //!< Null if unlimited.
        boost::asio::steady_timer pause;
        std::array<char, ChunkBytes> bytes {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            connect(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void connect(const std::shared_ptr<tcp::socket> &client)
    {
        const auto server = std::make_shared<tcp::socket>(m_context);
        // Small buffers, so that the sender notices the slow link as it would notice a real one.
        m_sockets.insert(m_sockets.end(), { client, server });
        server->open(tcp::v4());
        server->set_option(boost::asio::socket_base::receive_buffer_size(8 * 1024));
        server->async_connect({ boost::asio::ip::make_address(m_server.address), m_server.port },
                              [client, server, rate = m_rate](boost::system::error_code ec) {
                                  if (ec)
                                      return;
                                  std::make_shared<Pipe>(client, server, nullptr)->read();
                                  std::make_shared<Pipe>(server, client, rate)->read();
                              });
    }

    boost::asio::io_context &m_context;
    ggv::Endpoint m_server;
    std::shared_ptr<std::size_t> m_rate;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    tcp::acceptor m_acceptor;
};

} // namespace ggv::test
