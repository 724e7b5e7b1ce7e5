#include <ggv/transport/http/detail/server_connection.hpp>

#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/http/detail/beast_heads.hpp>
#include <ggv/transport/http/detail/operation_timer.hpp>
#include <ggv/transport/net/detail/dead_peer_detection.hpp>

#include <algorithm>
#include <array>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace ggv::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

//! Time and byte limits for discarding unread request data before the connection closes.
constexpr auto MaxDrainTime = std::chrono::seconds(1);
constexpr std::size_t MaxDrainBytes = 1024UL * 1024;
constexpr std::size_t ReadChunkBytes = 4UL * 1024;

using RequestParser = http::request_parser<http::buffer_body>;
using AnswerMessage = http::response<http::buffer_body>;
using AnswerSerializer = http::response_serializer<http::buffer_body>;

//! Response with a streamed body; the serializer references the message.
struct StreamedAnswer
{
    AnswerMessage message;
    AnswerSerializer serializer { message };
};

ResultCode resultCodeOf(const boost::system::error_code &ec)
{
    if (ec == http::error::header_limit)
        return ResultCode::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return ResultCode::BodyTooLarge;
    return ResultCode::MalformedRequest;
}

bool isClosedByPeer(const boost::system::error_code &ec)
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message
        || ec == asio::error::eof || ec == asio::error::connection_reset;
}

class ServerConnection : public ServerExchange,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(tcp::socket socket, std::shared_ptr<SharedServerState> shared)
        : m_socket(std::move(socket))
        , m_shared(std::move(shared))
        , m_timer(m_socket)
        , m_buffer(m_shared->limits.maxHeaderBytes + ReadChunkBytes)
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        enableDeadPeerDetection(m_socket, m_shared->limits.transferTimeout);
        m_overloaded = m_shared->connections.fetch_add(1) >= m_shared->limits.maxConnections;
    }

    ~ServerConnection() override { m_shared->connections.fetch_sub(1); }

    asio::awaitable<void> run()
    {
        if (m_overloaded) {
            const std::string message = "too many connections";
            co_await reject(ResultCode::Overloaded, message);
            co_return;
        }
        while (co_await readHead()) {
            co_await handle();
            if (!m_keepAlive)
                break;
        }
        co_await close();
    }

    const HttpRequestHead &head() const noexcept override { return m_head; }
    bool answerStarted() const noexcept override { return m_answerStarted; }
    void setBodyLimit(std::uint64_t bytes) override { m_parser->body_limit(bytes); }

    std::string peerAddress() const override
    {
        boost::system::error_code ec;
        const auto peer = m_socket.remote_endpoint(ec);
        return ec ? std::string() : peer.address().to_string();
    }

    asio::awaitable<std::size_t> readBody(std::span<std::uint8_t> buffer) override
    {
        co_await sendContinue();
        while (!m_parser->is_done()) {
            auto &body = m_parser->get().body();
            body.data = buffer.data();
            body.size = buffer.size();
            boost::system::error_code ec;
            m_timer.arm(monotonicNow() + m_shared->limits.transferTimeout);
            co_await http::async_read_some(m_socket, m_buffer, *m_parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            const bool timedOut = m_timer.disarm();
            throwOnBodyReadError(ec, timedOut);
            const std::size_t n = buffer.size() - body.size;
            if (n > 0)
                co_return n;
        }
        co_return 0;
    }

    asio::awaitable<void> answer(HttpAnswer answer) override
    {
        http::response<http::string_body> message;
        fillHead(message, answer.status, answer.headers);
        message.body() = std::move(answer.body);
        message.keep_alive(decideKeepAlive());
        message.prepare_payload();
        m_answerStarted = true;
        http::response_serializer<http::string_body> serializer { message };
        if (isHeadRequest()) {
            serializer.split(true);
            co_await write(
                [&](auto token) { return http::async_write_header(m_socket, serializer, token); });
        } else {
            co_await write(
                [&](auto token) { return http::async_write(m_socket, serializer, token); });
        }
        finishExchange();
    }

    asio::awaitable<void> startAnswer(const HttpAnswerHead &head) override
    {
        auto &message = m_answer.emplace().message;
        fillHead(message, head.status, head.headers);
        m_headOnly = head.noBody || isHeadRequest();
        m_bodyLength = head.contentLength;
        m_bodyWritten = 0;
        setBodyLength(message, head);
        message.keep_alive(decideKeepAlive() && (m_headOnly || head.contentLength || !isHttp10()));
        m_keepAlive = message.keep_alive();
        message.body().data = nullptr;
        message.body().more = !m_headOnly;
        m_answerStarted = true;
        m_answer->serializer.split(true);
        co_await write([this](auto token) {
            return http::async_write_header(m_socket, m_answer->serializer, token);
        });
    }

    asio::awaitable<void> writeBody(std::span<const std::uint8_t> bytes) override
    {
        if (m_headOnly || bytes.empty())
            co_return;
        auto &body = m_answer->message.body();
        body.data = const_cast<std::uint8_t *>(bytes.data()); // NOLINT: the serializer only reads.
        body.size = bytes.size();
        body.more = true;
        m_bodyWritten += bytes.size();
        co_await writeStreamed();
    }

    asio::awaitable<void> finishAnswer() override
    {
        if (!m_headOnly) {
            verifyBodyLength();
            auto &body = m_answer->message.body();
            body.data = nullptr;
            body.size = 0;
            body.more = false;
            co_await writeStreamed();
        }
        finishExchange();
    }

    void abort() noexcept override
    {
        boost::system::error_code ignored;
        m_keepAlive = false;
        m_disconnectHandler.reset();
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    void notifyOnDisconnect(std::function<void()> onDisconnect) override
    {
        m_disconnectHandler = std::make_shared<std::function<void()>>(std::move(onDisconnect));
        m_socket.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), weakHandler = std::weak_ptr(m_disconnectHandler)](
                boost::system::error_code ec) { self->onCallerReadable(ec, weakHandler); });
    }

private:
    bool isHeadRequest() const noexcept { return m_head.method == "HEAD"; }
    bool isHttp10() const noexcept { return m_parser->get().version() < 11; }

    // The connection closes after the response if the request was not read completely.
    bool decideKeepAlive()
    {
        m_keepAlive = m_parser && m_parser->is_done() && m_parser->get().keep_alive()
            && !m_shared->closing.load();
        return m_keepAlive;
    }

    void setBodyLength(AnswerMessage &message, const HttpAnswerHead &head) const
    {
        if (head.contentLength)
            message.content_length(*head.contentLength);
        else if (!m_headOnly && !isHttp10())
            message.chunked(true);
    }

    template <typename Operation>
    asio::awaitable<void> write(Operation operation)
    {
        boost::system::error_code ec;
        m_timer.arm(monotonicNow() + m_shared->limits.transferTimeout);
        co_await operation(asio::redirect_error(asio::use_awaitable, ec));
        m_timer.disarm();
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
            throw Error(ResultCode::CallerCancelled, "cannot write to the caller: " + ec.message());
    }

    asio::awaitable<void> writeStreamed()
    {
        co_await write([this](auto token) {
            return http::async_write(m_socket, m_answer->serializer, token);
        });
    }

    // After a body that differs from its Content-Length, the caller would misread the next response
    // as part of this one.
    void verifyBodyLength()
    {
        if (!m_bodyLength || m_bodyWritten == *m_bodyLength)
            return;
        abort();
        throw Error(ResultCode::Internal, "body of the answer differs from its Content-Length");
    }

    void finishExchange()
    {
        if (m_disconnectHandler) {
            m_disconnectHandler.reset();
            boost::system::error_code ignored;
            m_socket.cancel(ignored);
        }
        m_finished = true;
    }

    void onCallerReadable(boost::system::error_code ec,
                          const std::weak_ptr<std::function<void()>> &weakHandler)
    {
        const auto onDisconnect = weakHandler.lock();
        if (ec || !onDisconnect)
            return;
        char byte = 0;
        boost::system::error_code peekError;
        m_socket.non_blocking(true, peekError);
        m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
        if (!peekError || peekError == asio::error::would_block)
            return;
        m_disconnectHandler.reset();
        (*onDisconnect)();
    }

    void throwOnBodyReadError(boost::system::error_code ec, bool timedOut)
    {
        if (ec == http::error::need_buffer)
            ec = {};
        if (timedOut)
            throw Error(ResultCode::RequestTimedOut, "request body arrives too slowly");
        if (!ec)
            return;
        if (isClosedByPeer(ec))
            throw Error(ResultCode::CallerCancelled,
                        "caller closed the connection before its request was complete");
        throw Error(resultCodeOf(ec), "request body: " + ec.message());
    }

    asio::awaitable<void> sendContinue()
    {
        if (!m_expectsContinue)
            co_return;
        m_expectsContinue = false;
        http::response<http::empty_body> message(http::status::continue_, 11);
        http::response_serializer<http::empty_body> serializer { message };
        co_await write([&](auto token) { return http::async_write(m_socket, serializer, token); });
    }

    // Reads the head of the next request; returns false if the connection must close.
    asio::awaitable<bool> readHead()
    {
        m_head = {};
        m_parser.emplace();
        m_parser->header_limit(m_shared->limits.maxHeaderBytes);
        m_parser->body_limit(m_shared->limits.maxBodyBytes);
        m_answer.reset();
        m_answerStarted = false;
        m_finished = false;
        if (!co_await waitForFirstByte())
            co_return false;
        boost::system::error_code ec;
        m_timer.arm(monotonicNow() + m_shared->limits.headerTimeout);
        co_await http::async_read_header(m_socket, m_buffer, *m_parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (m_timer.disarm()) {
            const std::string message = "request head arrives too slowly";
            co_await reject(ResultCode::RequestTimedOut, message);
            co_return false;
        }
        if (ec && isClosedByPeer(ec))
            co_return false;
        if (ec) {
            const std::string message = "request head: " + ec.message();
            co_await reject(resultCodeOf(ec), message);
            co_return false;
        }
        co_return co_await acceptHead();
    }

    asio::awaitable<bool> waitForFirstByte()
    {
        if (m_buffer.size() > 0)
            co_return true;
        boost::system::error_code ec;
        m_timer.arm(monotonicNow() + m_shared->limits.idleTimeout);
        const std::size_t n = co_await m_socket.async_read_some(
            m_buffer.prepare(ReadChunkBytes), asio::redirect_error(asio::use_awaitable, ec));
        m_timer.disarm();
        m_buffer.commit(n);
        co_return !ec;
    }

    asio::awaitable<bool> acceptHead()
    {
        const auto &message = m_parser->get();
        if (const auto fault = validateRequestHead(message); !fault.empty()) {
            co_await reject(ResultCode::MalformedRequest, fault);
            co_return false;
        }
        m_head = requestHeadOf(message);
        m_expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
        co_return true;
    }

    asio::awaitable<void> handle()
    {
        m_shared->activeRequests.fetch_add(1);
        std::optional<Error> fault;
        try {
            co_await m_shared->handler(*this);
        } catch (const Error &error) {
            fault = error;
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "http-handler-failed", { { "reason", error.what() } });
            fault = Error(ResultCode::Internal, "internal fault");
        }
        if (fault && !m_answerStarted && fault->code() != ResultCode::CallerCancelled)
            co_await reject(fault->code(), fault->what());
        else if (!m_finished)
            abort();
        m_shared->activeRequests.fetch_sub(1);
    }

    asio::awaitable<void> reject(ResultCode code, std::string message)
    {
        try {
            co_await answer(m_shared->faultAnswer(code, message));
        } catch (const Error &) {
            abort();
        }
        m_keepAlive = false;
        co_await close();
    }

    // Shuts down sending and discards remaining input, so that the peer receives the response
    // before the connection closes.
    asio::awaitable<void> close()
    {
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        if (ec)
            co_return;
        m_timer.arm(monotonicNow() + MaxDrainTime);
        std::array<char, ReadChunkBytes> sink;
        std::size_t drained = 0;
        while (!ec && drained < MaxDrainBytes) {
            drained += co_await m_socket.async_read_some(
                asio::buffer(sink), asio::redirect_error(asio::use_awaitable, ec));
        }
        m_timer.disarm();
        m_socket.close(ec);
    }

    tcp::socket m_socket;
    std::shared_ptr<SharedServerState> m_shared;
    OperationTimer m_timer;
    // The parser leaves in the buffer what it can't parse yet.
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::optional<StreamedAnswer> m_answer;
    HttpRequestHead m_head;
    std::shared_ptr<std::function<void()>> m_disconnectHandler;
    std::optional<std::uint64_t> m_bodyLength;
    std::uint64_t m_bodyWritten = 0;
    bool m_overloaded = false;
    bool m_keepAlive = false;
    bool m_expectsContinue = false;
    bool m_headOnly = false;
    bool m_answerStarted = false;
    bool m_finished = false;
};

asio::awaitable<void> runConnection(std::shared_ptr<ServerConnection> connection)
{
    try {
        co_await connection->run();
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "http-connection-failed", { { "reason", error.what() } });
    }
}

} // namespace

void serveConnection(tcp::socket socket, std::shared_ptr<SharedServerState> shared)
{
    const auto executor = socket.get_executor();
    auto connection = std::make_shared<ServerConnection>(std::move(socket), std::move(shared));
    asio::co_spawn(
        executor, [connection] { return runConnection(connection); }, asio::detached);
}

} // namespace ggv::detail
