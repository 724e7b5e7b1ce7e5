#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/http/detail/server_connection.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <atomic>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! Delay before accepting again after a failure, for example when no file descriptor is free.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
    Implementation(IoPool &pool, const HttpLimits &limits, HttpHandler handler,
                   HttpFaultAnswer faultAnswer)
        : m_pool(pool)
        , m_acceptor(pool.context(0))
        , m_shared(std::make_shared<detail::SharedServerState>())
    {
        m_shared->limits = limits;
        m_shared->handler = std::move(handler);
        m_shared->faultAnswer = std::move(faultAnswer);
    }

    void bind(const Endpoint &endpoint)
    {
        const tcp::endpoint local(asio::ip::make_address(endpoint.address), endpoint.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(asio::socket_base::max_listen_connections);
    }

    void start()
    {
        asio::co_spawn(
            m_pool.context(0), [self = shared_from_this()] { return self->acceptLoop(); },
            asio::detached);
    }

    void stopAccepting()
    {
        m_shared->closing = true;
        asio::post(m_pool.context(0), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    asio::awaitable<void> acceptLoop()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code ec;
            auto &context = m_pool.context(m_nextContext++ % m_pool.size());
            tcp::socket socket = co_await m_acceptor.async_accept(
                context, asio::redirect_error(asio::use_awaitable, ec));
            if (!ec)
                detail::serveConnection(std::move(socket), m_shared);
            else if (m_acceptor.is_open())
                co_await delayNextAccept(ec);
        }
    }

    asio::awaitable<void> delayNextAccept(boost::system::error_code reason)
    {
        logEvent(LogLevel::Warning, "accept-failed", { { "reason", reason.message() } });
        asio::steady_timer timer(m_pool.context(0), AcceptRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }

    IoPool &m_pool;
    tcp::acceptor m_acceptor;
    std::size_t m_nextContext = 0;
    std::shared_ptr<detail::SharedServerState> m_shared;
};

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::listen(IoPool &pool, const Endpoint &endpoint,
                                                       const HttpLimits &limits,
                                                       HttpHandler handler,
                                                       HttpFaultAnswer faultAnswer)
{
    try {
        auto implementation = std::make_shared<Implementation>(pool, limits, std::move(handler),
                                                               std::move(faultAnswer));
        implementation->bind(endpoint);
        implementation->start();
        return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
    } catch (const boost::system::system_error &error) {
        return Error(ResultCode::ConnectionLost,
                     "cannot listen on " + endpoint.address + ":" + std::to_string(endpoint.port)
                         + ": " + error.code().message());
    }
}

std::uint16_t HttpServer::port() const noexcept
{
    boost::system::error_code ec;
    return m_implementation->m_acceptor.local_endpoint(ec).port();
}

std::size_t HttpServer::activeRequests() const noexcept
{
    return m_implementation->m_shared->activeRequests.load();
}

void HttpServer::closeAfterAnswers() noexcept { m_implementation->m_shared->closing = true; }

void HttpServer::stopAccepting() { m_implementation->stopAccepting(); }

} // namespace ggv
