#include <ggv/transport/http/http_server.hpp>

#include <net/raw_socket.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <mutex>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;

HttpLimits shortLimits()
{
    HttpLimits limits;
    limits.maxHeaderBytes = 2048;
    limits.maxBodyBytes = 64;
    limits.headerTimeout = milliseconds(150);
    limits.transferTimeout = milliseconds(150);
    return limits;
}

std::uint16_t statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::RequestTimedOut:
        return 408;
    case ResultCode::MalformedRequest:
        return 400;
    default:
        return 500;
    }
}

std::string statusLine(std::uint16_t status) { return "HTTP/1.1 " + std::to_string(status); }

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

std::string request(const std::string &target, const std::string &headers = {},
                    const std::string &body = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(malformedRequestsAreRejectedAndLaterRequestsNotExecuted);
    CPPUNIT_TEST(absoluteFormAuthorityReplacesTheHostHeader);
    CPPUNIT_TEST(chunkHeaderOrTrailerBeyondTheLimitIsRefused);
    CPPUNIT_TEST(slowSendersGetRequestTimeout);
    CPPUNIT_TEST(closeDuringRequestDoesNotAffectOtherConnections);
    CPPUNIT_TEST(continueIsSentBeforeTheBodyIsRead);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(http10ConnectionClosesAfterTheAnswer);
    CPPUNIT_TEST(answersWithoutBodyKeepTheConnectionOpen);
    CPPUNIT_TEST(rejectionAfterHeadRequestHasBody);
    CPPUNIT_TEST(unreadBodyIsNeverParsedAsRequest);
    CPPUNIT_TEST(truncatedAnswerResetsTheConnection);
    CPPUNIT_TEST(watchCallerNotifiesOnceWhenTheCallerCloses);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto server = HttpServer::listen(
            m_pool, { "127.0.0.1", 0 }, shortLimits(),
            [this](ServerExchange &exchange) { return handle(exchange); },
            [](ResultCode code, const std::string &message) {
                return HttpAnswer { statusOf(code), {}, "refused: " + message };
            });
        m_server = std::move(server.value());
        m_pool.start();
    }

    void tearDown() override { m_pool.stop(); }

    void malformedRequestsAreRejectedAndLaterRequestsNotExecuted()
    {
        const std::string both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n";
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::string oversizedValue(4096, 'x');
        const std::vector<std::pair<std::string, std::uint16_t>> cases {
            { request("/a", both, "0\r\n\r\n"), 400 },
            { request("/a", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"),
              400 },
            { request("/a", "Content-Length: 3\r\nContent-Length: 4\r\n", "abc"), 400 },
            { request("/a", "Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400 },
            { request("/a", "Content-Length: -1\r\n"), 400 },
            { request("/a", "Content-Length: 3, 3\r\n", "abc"), 400 },
            { request("/a", "Transfer-Encoding: gzip\r\n"), 400 },
            { request("/a", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400 },
            { request("/a", chunked + chunked, "0\r\n\r\n"), 400 },
            { request("/a", chunked, "xyz\r\nabc\r\n0\r\n\r\n"), 400 },
            { request("/a", chunked, "-1\r\nabc\r\n0\r\n\r\n"), 400 },
            { request("/a", chunked, "fffffffffffffffff\r\nabc\r\n"), 400 },
            { request("/a", chunked, "3\r\nabcd\r\n0\r\n\r\n"), 400 },
            { request("/a", "Host: b\r\n"), 400 },
            { "GET /a HTTP/1.1\r\n\r\n", 400 },
            { "GET http:///a HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
            { "GET ftp://b/a HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
            { "CONNECT b:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
            { std::string("\x16\x03\x01\0garbage\r\n\r\n", 15), 400 },
            { "GET / HTTP/9.9\r\n\r\n", 400 },
            { request("/a", "Bad Name: x\r\n"), 400 },
            { request("/a", "X: " + oversizedValue + "\r\n"), 431 },
            { request("/a", "Content-Length: 65\r\n", std::string(65, 'x')), 413 },
            { request("/a", chunked, "41\r\n" + std::string(65, 'x') + "\r\n0\r\n\r\n"), 413 },
        };
        for (const auto &[bytes, status] : cases) {
            auto socket = open();
            socket.send(bytes + request("/smuggled"));
            socket.shutdownSend();
            const auto answer = socket.readToEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, statusLine(status), answer.substr(0, 12));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t { 1 }, countOf(answer, "HTTP/1.1 "));
        }
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/smuggled"));
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/a"));
    }

    // RFC 9112 3.2.2: the authority of an absolute-form target replaces the Host header.
    void absoluteFormAuthorityReplacesTheHostHeader()
    {
        for (const char *target : { "http://b:80/seen", "HTTP://b:80/seen" }) {
            auto socket = open();
            socket.send(std::string("GET ") + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(statusLine(200), socket.readUntil("\r\n\r\n").substr(0, 12));
            const std::scoped_lock lock(m_mutex);
            CPPUNIT_ASSERT_EQUAL(std::string("b:80"), m_lastHost);
        }
        CPPUNIT_ASSERT_EQUAL(2, executionsOf("/seen"));
    }

    void chunkHeaderOrTrailerBeyondTheLimitIsRefused()
    {
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::string excess(100'000, 'x');
        for (const std::string start : { "1;a=", "1\r\nx\r\n1;a=", "0;a=", "0\r\nA: " }) {
            auto socket = open();
            socket.send(request("/long", chunked, start + excess));
            const auto answer = socket.readToEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(start, statusLine(400), answer.substr(0, 12));
        }
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/long"));
    }

    void slowSendersGetRequestTimeout()
    {
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::vector<std::string> parts {
            "G",
            "POST /slow HTTP/1.1\r\nHost: a\r\n",
            request("/slow", "Content-Length: 5\r\n", "ab"),
            request("/slow", chunked, "5\r\nab"),
            request("/slow", chunked, "2\r\nab\r\n"),
        };
        for (const auto &part : parts) {
            auto socket = open();
            socket.send(part);
            const auto answer = socket.readToEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, statusLine(408), answer.substr(0, 12));
            CPPUNIT_ASSERT_MESSAGE(part, socket.streamEnd() == StreamEnd::Closed);
        }
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/slow"));
    }

    void closeDuringRequestDoesNotAffectOtherConnections()
    {
        auto other = open();
        other.send("POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
        for (const auto &part :
             { "GET / HT", "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab" }) {
            auto socket = open();
            socket.send(part);
            socket.shutdownSend();
            CPPUNIT_ASSERT_EQUAL(std::string(), socket.readToEnd());
        }
        other.send("cd");
        CPPUNIT_ASSERT(other.readUntil("ok:abcd").ends_with("ok:abcd"));
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/cut"));
    }

    void continueIsSentBeforeTheBodyIsRead()
    {
        auto socket = open();
        socket.send(request("/a", "Content-Length: 2\r\nExpect: 100-continue\r\n"));
        CPPUNIT_ASSERT_EQUAL(statusLine(100), socket.readUntil("\r\n\r\n").substr(0, 12));
        socket.clearReceived();
        socket.send("ab");
        CPPUNIT_ASSERT_EQUAL(statusLine(200), socket.readUntil("ok:ab").substr(0, 12));
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        auto socket = open();
        socket.send(request("/a", "Content-Length: 1\r\n", "1")
                    + request("/b", "Transfer-Encoding: chunked\r\n", "1\r\n2\r\n0\r\n\r\n")
                    + request("/c", "Connection: close\r\nContent-Length: 1\r\n", "3"));
        const auto answers = socket.readToEnd();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, countOf(answers, statusLine(200)));
        CPPUNIT_ASSERT(answers.find("ok:1") < answers.find("ok:2"));
        CPPUNIT_ASSERT(answers.find("ok:2") < answers.find("ok:3"));
        CPPUNIT_ASSERT(socket.streamEnd() == StreamEnd::Closed);
    }

    void http10ConnectionClosesAfterTheAnswer()
    {
        for (const auto &target : { "/a", "/stream" }) {
            auto socket = open();
            socket.send(std::string("GET ") + target + " HTTP/1.0\r\n\r\n");
            const auto answer = socket.readToEnd();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\nok:"));
            CPPUNIT_ASSERT(answer.find("chunked") == std::string::npos);
            CPPUNIT_ASSERT(socket.streamEnd() == StreamEnd::Closed);
        }
    }

    void answersWithoutBodyKeepTheConnectionOpen()
    {
        auto socket = open();
        for (const auto &line : { "HEAD /a", "HEAD /stream", "GET /204", "GET /304" }) {
            socket.send(std::string(line) + " HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto answer = socket.readUntil("\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\n"));
            socket.clearReceived();
        }
        socket.send(request("/a", "Content-Length: 1\r\n", "1"));
        CPPUNIT_ASSERT_EQUAL(statusLine(200), socket.readUntil("ok:1").substr(0, 12));
    }

    void rejectionAfterHeadRequestHasBody()
    {
        auto socket = open();
        socket.send("HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n" + request("/b", "Host: b\r\n"));
        const auto answers = socket.readToEnd();
        CPPUNIT_ASSERT_MESSAGE(answers, answers.ends_with("refused: more than one Host"));
    }

    void unreadBodyIsNeverParsedAsRequest()
    {
        auto socket = open();
        const auto hidden = request("/smuggled");
        socket.send(request("/unread", "Content-Length: " + std::to_string(hidden.size()) + "\r\n",
                            hidden));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(socket.readToEnd(), "HTTP/1.1 "));
        CPPUNIT_ASSERT_EQUAL(0, executionsOf("/smuggled"));
    }

    void truncatedAnswerResetsTheConnection()
    {
        for (const auto &version : { "HTTP/1.0", "HTTP/1.1" }) {
            for (const auto &target : { "/abort-length", "/abort-stream", "/short" }) {
                auto socket = open();
                socket.send(std::string("GET ") + target + " " + version + "\r\nHost: a\r\n\r\n");
                const auto answer = socket.readToEnd();
                CPPUNIT_ASSERT_MESSAGE(answer, socket.streamEnd() == StreamEnd::Reset);
                CPPUNIT_ASSERT(answer.find("\r\n0\r\n") == std::string::npos);
            }
        }
    }

    void watchCallerNotifiesOnceWhenTheCallerCloses()
    {
        auto socket = open();
        socket.send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n");
        auto started = m_started.get_future();
        CPPUNIT_ASSERT(started.wait_for(std::chrono::seconds(WaitSeconds))
                       == std::future_status::ready);
        CPPUNIT_ASSERT_EQUAL(0, m_disconnects.load());
        socket.close();
        auto finished = m_finished.get_future();
        CPPUNIT_ASSERT(finished.wait_for(std::chrono::seconds(WaitSeconds))
                       == std::future_status::ready);
        CPPUNIT_ASSERT_EQUAL(1, m_disconnects.load());
    }

private:
    RawSocket open() { return RawSocket::connect(m_context, m_server->port()); }

    int executionsOf(const std::string &target)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(std::count(m_executed.begin(), m_executed.end(), target));
    }

    asio::awaitable<std::string> readFullBody(ServerExchange &exchange)
    {
        std::string body;
        std::array<std::uint8_t, 16> buffer {};
        const std::span<std::uint8_t> view(buffer);
        while (const auto n = co_await exchange.readBody(view))
            body.append(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(n));
        co_return body;
    }

    asio::awaitable<void> stream(ServerExchange &exchange, const std::string &text, bool complete,
                                 bool withLength)
    {
        HttpAnswerHead head;
        head.status = 200;
        if (withLength)
            head.contentLength = 10;
        co_await exchange.startAnswer(head);
        const std::span<const std::uint8_t> bytes(
            reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
        co_await exchange.writeBody(bytes);
        if (complete)
            co_await exchange.finishAnswer();
        else
            exchange.abort();
    }

    asio::awaitable<void> answerEmpty(ServerExchange &exchange, std::uint16_t status)
    {
        HttpAnswerHead head;
        head.status = status;
        head.noBody = true;
        co_await exchange.startAnswer(head);
        co_await exchange.finishAnswer();
    }

    asio::awaitable<void> watch(ServerExchange &exchange)
    {
        asio::steady_timer disconnected(m_pool.context(0), std::chrono::seconds(WaitSeconds));
        exchange.notifyOnDisconnect([&] {
            ++m_disconnects;
            disconnected.cancel();
        });
        m_started.set_value();
        boost::system::error_code ec;
        co_await disconnected.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        exchange.abort();
        m_finished.set_value();
    }

    asio::awaitable<void> handle(ServerExchange &exchange)
    {
        const std::string target = exchange.head().target;
        const std::string text = "ok:";
        if (target == "/watch") {
            co_await watch(exchange);
            co_return;
        }
        std::string body;
        if (target != "/unread")
            body = co_await readFullBody(exchange);
        {
            const std::lock_guard lock(m_mutex);
            m_executed.push_back(target);
            if (const auto *host = findHeader(exchange.head().headers, "Host"))
                m_lastHost = *host;
        }
        if (target == "/204" || target == "/304") {
            const std::uint16_t status = target == "/204" ? 204 : 304;
            co_await answerEmpty(exchange, status);
        } else if (target == "/stream" || target == "/short" || target.starts_with("/abort")) {
            const bool complete = !target.starts_with("/abort");
            const bool withLength = target == "/abort-length" || target == "/short";
            co_await stream(exchange, text, complete, withLength);
        } else {
            HttpAnswer answer;
            answer.body = text + body;
            co_await exchange.answer(std::move(answer));
        }
    }

    asio::io_context m_context;
    std::mutex m_mutex;
    std::vector<std::string> m_executed;
    std::string m_lastHost;
    std::atomic<int> m_disconnects = 0;
    std::promise<void> m_started;
    std::promise<void> m_finished;
    IoPool m_pool { 1 };
    std::unique_ptr<HttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
