#include <ggv/transport/http/http_client.hpp>

#include <ggv/transport/http/detail/beast_heads.hpp>
#include <ggv/transport/http/detail/operation_timer.hpp>
#include <ggv/transport/net/detail/dead_peer_detection.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>

namespace ggv {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

//! Bounds a response head, and each chunk header and the trailer of a chunked body.
constexpr std::uint32_t MaxAnswerHeaderBytes = 64 * 1024;
//! Short, so that there is time left for another attempt.
constexpr Duration PeerSilenceLimit = std::chrono::seconds(1);

//! Interim responses (1xx) that may precede a response.
constexpr int MaxInterimAnswers = 8;
//! Start of each response that the parser accepts.
constexpr beast::string_view AnswerStart = "HTTP/1.";

using RequestMessage = http::request<http::buffer_body>;
using AnswerParser = http::response_parser<http::buffer_body>;

//! Request being sent; the serializer references the message.
struct OutgoingRequest
{
    RequestMessage message;
    http::request_serializer<http::buffer_body> serializer { message };
};

class ClientConnection : public ClientExchange
{
public:
    ClientConnection(asio::io_context &context, Endpoint peer, std::uint64_t generation)
        : m_socket(context)
        , m_timer(m_socket)
        , m_peer(std::move(peer))
        , m_generation(generation)
    { }

    asio::awaitable<void> connect(Instant deadline)
    {
        boost::system::error_code ec;
        const tcp::endpoint remote(asio::ip::make_address(m_peer.address, ec), m_peer.port);
        if (ec)
            throw Error(ResultCode::TargetUnreachable, m_peer.address + " is not an IP address");
        m_timer.arm(deadline);
        co_await m_socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, ec));
        const bool timedOut = m_timer.disarm();
        if (ec || timedOut)
            throw Error(ResultCode::TargetUnreachable,
                        "cannot connect to " + m_peer.address + ":" + std::to_string(m_peer.port)
                            + ": " + (timedOut ? "deadline passed" : ec.message()));
        m_socket.set_option(tcp::no_delay(true), ec);
        detail::enableDeadPeerDetection(m_socket, PeerSilenceLimit);
    }

    asio::awaitable<void> sendHead(const HttpRequestHead &head, Instant deadline) override
    {
        auto &message = m_request.emplace().message;
        message.version(11);
        message.method_string(head.method);
        message.target(head.target);
        detail::copyHeaders(message, head.headers);
        if (head.contentLength)
            message.content_length(*head.contentLength);
        else if (head.chunked)
            message.chunked(true);
        message.body().more = head.hasBody();
        m_bodyLength = head.contentLength;
        m_bodySent = 0;
        m_isHeadRequest = head.method == "HEAD";
        m_requestStarted = true;
        m_request->serializer.split(true);
        co_await runOperation(deadline, ResultCode::TargetConnectionLost, [this](auto token) {
            return http::async_write_header(m_socket, m_request->serializer, token);
        });
        m_requestFinished = !head.hasBody();
    }

    asio::awaitable<void> sendBody(std::span<const std::uint8_t> bytes, Instant deadline) override
    {
        if (bytes.empty())
            co_return;
        auto &body = m_request->message.body();
        body.data = const_cast<std::uint8_t *>(bytes.data()); // NOLINT: the serializer only reads.
        body.size = bytes.size();
        body.more = true;
        m_bodySent += bytes.size();
        co_await writeBody(deadline);
    }

    asio::awaitable<void> finishRequest(Instant deadline) override
    {
        if (m_requestFinished)
            co_return;
        auto &body = m_request->message.body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        co_await writeBody(deadline);
        // After a body shorter than its Content-Length, the peer would read the next request as the
        // rest of that body.
        m_requestFinished = !m_bodyLength || m_bodySent == *m_bodyLength;
    }

    asio::awaitable<HttpAnswerHead> readHead(Instant deadline) override
    {
        m_headBytes = 0;
        co_await parseHead(deadline);
        for (int interim = 1; m_parser->get().result_int() / 100 == 1; ++interim) {
            if (m_parser->get().result() == http::status::switching_protocols)
                throw refusal("a change of the protocol that no request asks for");
            if (interim > MaxInterimAnswers)
                throw refusal("too many interim responses");
            co_await parseHead(deadline);
        }
        const auto head = detail::answerHeadOf(m_parser->get(), m_isHeadRequest);
        m_bodyUntilClose = !m_parser->is_done() && !head.contentLength && !m_parser->chunked();
        co_return head;
    }

    asio::awaitable<std::size_t> readBody(std::span<std::uint8_t> buffer, Instant deadline) override
    {
        while (!m_parser->is_done()) {
            auto &body = m_parser->get().body();
            body.data = buffer.data();
            body.size = buffer.size();
            co_await runOperation(deadline, ResultCode::TargetAnswerTruncated, [this](auto token) {
                return http::async_read_some(m_socket, m_buffer, *m_parser, token);
            });
            const std::size_t n = buffer.size() - body.size;
            if (n > 0)
                co_return n;
        }
        co_return 0;
    }

    bool requestStarted() const noexcept override { return m_requestStarted; }
    bool reused() const noexcept override { return m_exchangeCount > 1; }

    void cancel() noexcept override
    {
        boost::system::error_code ignored;
        m_cancelled = true;
        m_socket.close(ignored);
    }

    // True if no data of this exchange can remain on the connection.
    bool isReusable() const
    {
        return !m_failed && !m_cancelled && m_socket.is_open() && m_requestFinished && m_parser
            && m_parser->is_done() && m_parser->keep_alive() && !m_bodyUntilClose
            && m_buffer.size() == 0;
    }

    // True if the peer has neither closed the idle connection nor sent unsolicited data.
    bool isOpenWithoutInput()
    {
        char byte = 0;
        boost::system::error_code ec;
        m_socket.non_blocking(true, ec);
        m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        return ec == asio::error::would_block;
    }

    void startExchange()
    {
        m_request.reset();
        m_parser.reset();
        m_requestStarted = false;
        m_requestFinished = false;
        m_bodyUntilClose = false;
        ++m_exchangeCount;
    }

    // Calls the function once if the peer sends or closes before stopIdleWatch().
    void watchIdle(std::function<void()> onInput)
    {
        m_onIdleInput = std::make_shared<std::function<void()>>(std::move(onInput));
        m_socket.async_wait(tcp::socket::wait_read,
                            [weak = std::weak_ptr(m_onIdleInput)](boost::system::error_code ec) {
                                const auto handler = weak.lock();
                                if (!ec && handler)
                                    (*handler)();
                            });
    }

    void stopIdleWatch()
    {
        boost::system::error_code ignored;
        m_onIdleInput.reset();
        m_socket.cancel(ignored);
    }

    const Endpoint &peer() const noexcept { return m_peer; }
    std::uint64_t generation() const noexcept { return m_generation; }
    Instant idleSince() const noexcept { return m_idleSince; }
    void markIdle(Instant now) noexcept { m_idleSince = now; }

private:
    // Not async_read_header(): its limit doesn't count the lines that it has parsed already.
    asio::awaitable<void> parseHead(Instant deadline)
    {
        m_parser.emplace();
        m_parser->header_limit(MaxAnswerHeaderBytes);
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->skip(m_isHeadRequest);
        const std::size_t startOfHead = m_headBytes;
        while (!m_parser->is_header_done()) {
            boost::system::error_code ec = http::error::need_more;
            if (m_headBytes == startOfHead && !startsLikeAnswer())
                ec = http::error::bad_version;
            else if (m_buffer.size() > 0)
                parseBuffer(ec);
            if (ec == http::error::need_more)
                co_await receive(deadline);
            else if (ec)
                throw refusal(ec.message());
        }
        if (const auto reason = detail::validateAnswerHead(m_parser->get()); !reason.empty())
            throw refusal(reason);
    }

    // The parser looks at a start line that comes in small pieces only when the head has ended.
    bool startsLikeAnswer() const
    {
        const auto bytes = m_buffer.cdata();
        const beast::string_view start(static_cast<const char *>(bytes.data()),
                                       std::min(bytes.size(), AnswerStart.size()));
        return AnswerStart.starts_with(start);
    }

    void parseBuffer(boost::system::error_code &ec)
    {
        const auto bytes = m_buffer.cdata();
        const std::size_t used = m_parser->put(bytes, ec);
        const bool isFolded
            = detail::hasFoldedLine({ static_cast<const char *>(bytes.data()), used });
        m_buffer.consume(used);
        m_headBytes += used;
        if (m_headBytes + m_buffer.size() >= MaxAnswerHeaderBytes && ec == http::error::need_more)
            ec = http::error::header_limit;
        else if (isFolded)
            ec = http::error::bad_field;
    }

    asio::awaitable<void> receive(Instant deadline)
    {
        const auto space = m_buffer.prepare(beast::read_size(m_buffer, MaxAnswerHeaderBytes));
        const std::size_t n = co_await runOperation(
            deadline, ResultCode::TargetConnectionLost,
            [this, space](auto token) { return m_socket.async_read_some(space, token); });
        m_buffer.commit(n);
    }

    // Marks the connection as failed; what was received is no response.
    Error refusal(const std::string &reason)
    {
        m_failed = true;
        return Error(ResultCode::TargetConnectionLost,
                     "connection to " + m_peer.address + ": " + reason);
    }

    template <typename Operation>
    asio::awaitable<std::size_t> runOperation(Instant deadline, ResultCode failure,
                                              Operation operation)
    {
        boost::system::error_code ec;
        std::size_t size = 0;
        // The timer never ends operations that complete at once: those of a peer that always sends.
        bool timedOut = monotonicNow() >= deadline;
        if (!timedOut) {
            m_timer.arm(deadline);
            size = co_await operation(asio::redirect_error(asio::use_awaitable, ec));
            timedOut = m_timer.disarm();
        }
        if (ec == http::error::need_buffer)
            ec = {};
        if (!ec && !timedOut && !m_cancelled)
            co_return size;
        m_failed = true;
        if (m_cancelled)
            throw Error(ResultCode::CallerCancelled, "exchange was cancelled");
        if (timedOut)
            throw Error(ResultCode::PeerSilent, "no answer from " + m_peer.address + " in time");
        throw Error(failure, "connection to " + m_peer.address + ": " + ec.message());
    }

    asio::awaitable<void> writeBody(Instant deadline)
    {
        co_await runOperation(deadline, ResultCode::TargetConnectionLost, [this](auto token) {
            return http::async_write(m_socket, m_request->serializer, token);
        });
    }

    tcp::socket m_socket;
    detail::OperationTimer m_timer;
    Endpoint m_peer;
    std::uint64_t m_generation;
    Instant m_idleSince {};
    std::shared_ptr<std::function<void()>> m_onIdleInput;
    // The parser leaves in the buffer what it can't parse yet.
    beast::flat_buffer m_buffer { MaxAnswerHeaderBytes };
    std::optional<OutgoingRequest> m_request;
    std::optional<AnswerParser> m_parser;
    std::optional<std::uint64_t> m_bodyLength;
    std::uint64_t m_bodySent = 0;
    std::size_t m_headBytes = 0;
    std::uint32_t m_exchangeCount = 0;
    bool m_isHeadRequest = false;
    bool m_requestStarted = false;
    bool m_requestFinished = false;
    bool m_bodyUntilClose = false;
    bool m_cancelled = false;
    bool m_failed = false;
};

//! Idle connections to one peer.
struct PeerConnections
{
    std::uint64_t generation = 0;
    std::vector<std::unique_ptr<ClientConnection>> idle;
};

} // namespace

class HttpClientPool::Implementation
{
public:
    std::unique_ptr<ClientConnection> acquireIdle(PeerConnections &peer)
    {
        while (!peer.idle.empty()) {
            auto connection = std::move(peer.idle.back());
            peer.idle.pop_back();
            connection->stopIdleWatch();
            const bool withinIdleTimeout = monotonicNow() - connection->idleSince() < m_idleTimeout;
            if (withinIdleTimeout && connection->isOpenWithoutInput())
                return connection;
        }
        return nullptr;
    }

    void closeIdle(const ClientConnection *connection)
    {
        auto &idle = m_peers[connection->peer()].idle;
        std::erase_if(idle, [connection](const auto &it) { return it.get() == connection; });
    }

    asio::io_context &m_context;
    std::size_t m_maxIdlePerPeer;
    Duration m_idleTimeout;
    std::map<Endpoint, PeerConnections> m_peers;
};

HttpClientPool::HttpClientPool(asio::io_context &context, std::size_t maxIdlePerPeer,
                               Duration idleTimeout)
    : m_implementation(new Implementation { context, maxIdlePerPeer, idleTimeout, {} })
{ }

HttpClientPool::~HttpClientPool() = default;

asio::awaitable<std::unique_ptr<ClientExchange>> HttpClientPool::open(const Endpoint &peer,
                                                                      bool fresh, Instant deadline)
{
    auto &peerConnections = m_implementation->m_peers[peer];
    std::unique_ptr<ClientConnection> connection;
    if (!fresh)
        connection = m_implementation->acquireIdle(peerConnections);
    if (!connection) {
        connection = std::make_unique<ClientConnection>(m_implementation->m_context, peer,
                                                        peerConnections.generation);
        co_await connection->connect(deadline);
    }
    connection->startExchange();
    co_return connection;
}

void HttpClientPool::release(std::unique_ptr<ClientExchange> exchange)
{
    auto *connection = static_cast<ClientConnection *>(exchange.get());
    if (connection == nullptr || !connection->isReusable())
        return;
    auto &peerConnections = m_implementation->m_peers[connection->peer()];
    if (connection->generation() != peerConnections.generation
        || peerConnections.idle.size() >= m_implementation->m_maxIdlePerPeer)
        return;
    connection->markIdle(monotonicNow());
    exchange.release(); // NOLINT(bugprone-unused-return-value): owned by the list below.
    peerConnections.idle.emplace_back(connection);
    connection->watchIdle(
        [pool = m_implementation.get(), connection] { pool->closeIdle(connection); });
}

void HttpClientPool::closeIdleConnections(const Endpoint &peer)
{
    auto &peerConnections = m_implementation->m_peers[peer];
    ++peerConnections.generation;
    peerConnections.idle.clear();
}

std::size_t HttpClientPool::idle(const Endpoint &peer) const noexcept
{
    const auto it = m_implementation->m_peers.find(peer);
    return it == m_implementation->m_peers.end() ? 0 : it->second.idle.size();
}

} // namespace ggv
