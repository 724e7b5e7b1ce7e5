#include <ggv/transport/http/http_client.hpp>

#include <net/raw_socket.hpp>

#include <array>
#include <optional>

#include <poll.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string CompleteAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

//! Result of a call.
struct Outcome
{
    std::optional<ResultCode> fault;
    std::string body;
    bool started = false;
    bool reused = false;
};

//! Options of a call.
struct CallOptions
{
    bool readAnswer = true;
    bool readBody = true;
    bool cancel = false;
    bool fresh = false;
    std::optional<std::uint64_t> contentLength;
    std::string body;
    std::string method = "GET";
    Duration limit = seconds(WaitSeconds);
};

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(completeAnswersKeepTheConnectionOpen);
    CPPUNIT_TEST(truncatedAnswersAreErrors);
    CPPUNIT_TEST(connectionThatMayHoldLeftoverDataIsNotReused);
    CPPUNIT_TEST(connectionWithUnreadAnswerIsNotReused);
    CPPUNIT_TEST(lateAnswerIsNeverReadByTheNextCall);
    CPPUNIT_TEST(connectionWithIncompleteRequestBodyIsNotReused);
    CPPUNIT_TEST(retiredConnectionsAreNotReused);
    CPPUNIT_TEST(connectionClosedByPeerIsNotReused);
    CPPUNIT_TEST(freshCallOpensNewConnection);
    CPPUNIT_TEST(silentPeerTimesOutAtTheDeadline);
    CPPUNIT_TEST(refusedConnectSendsNoRequestBytes);
    CPPUNIT_TEST(cancelAbortsPendingRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeAnswersKeepTheConnectionOpen()
    {
        const std::vector<std::pair<std::string, std::string>> cases {
            { CompleteAnswer, "ok" },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok" },
            { "HTTP/1.1 204 No Content\r\n\r\n", "" },
            { "HTTP/1.1 304 Not Modified\r\n\r\n", "" },
            { "HTTP/1.1 100 Continue\r\n\r\n" + CompleteAnswer, "ok" },
        };
        auto first = call({});
        auto peer = accept(CompleteAnswer);
        CPPUNIT_ASSERT(!finish(first).fault);
        for (const auto &[answer, body] : cases) {
            const auto outcome = exchange(peer, answer);
            CPPUNIT_ASSERT_MESSAGE(answer, !outcome.fault && outcome.reused);
            CPPUNIT_ASSERT_EQUAL(body, outcome.body);
        }
        CallOptions head;
        head.method = "HEAD";
        const auto outcome = exchange(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", head);
        CPPUNIT_ASSERT(!outcome.fault && outcome.body.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pool.idle(endpoint()));
    }

    void truncatedAnswersAreErrors()
    {
        const std::vector<std::pair<std::string, ResultCode>> cases {
            { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", ResultCode::TargetAnswerTruncated },
            { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", ResultCode::TargetAnswerTruncated },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
              ResultCode::TargetAnswerTruncated },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
              ResultCode::TargetAnswerTruncated },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
              ResultCode::TargetAnswerTruncated },
            { "HTTP/1.1 200 OK\r\nContent-Le", ResultCode::TargetConnectionLost },
            { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
              ResultCode::TargetConnectionLost },
            { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              ResultCode::TargetConnectionLost },
            { "garbage\r\n\r\n", ResultCode::TargetConnectionLost },
            { "", ResultCode::TargetConnectionLost },
        };
        for (const auto &[answer, code] : cases) {
            auto pending = call({});
            auto peer = acceptOne();
            awaitRequest(peer);
            peer.send(answer);
            peer.close();
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT_MESSAGE(answer, outcome.fault.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, static_cast<int>(code),
                                         static_cast<int>(*outcome.fault));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void connectionThatMayHoldLeftoverDataIsNotReused()
    {
        const std::vector<std::string> cases {
            CompleteAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
            CompleteAnswer + "x",
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        };
        for (const auto &answer : cases) {
            auto pending = call({});
            auto peer = accept(answer);
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT_MESSAGE(answer, !outcome.fault && outcome.body == "ok");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void connectionWithUnreadAnswerIsNotReused()
    {
        CallOptions noRead;
        noRead.readAnswer = false;
        CallOptions headOnly;
        headOnly.readBody = false;
        const std::string answerWithoutBody = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        for (const auto &options : { noRead, headOnly }) {
            for (const auto &answer : { CompleteAnswer, answerWithoutBody }) {
                auto pending = call(options);
                auto peer = accept(answer);
                CPPUNIT_ASSERT(!finish(pending).fault);
                CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
            }
        }
    }

    void lateAnswerIsNeverReadByTheNextCall()
    {
        auto first = call({});
        auto peer = accept(CompleteAnswer);
        CPPUNIT_ASSERT(!finish(first).fault);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pool.idle(endpoint()));
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
        auto second = call({});
        auto other = accept(CompleteAnswer);
        const auto outcome = finish(second);
        CPPUNIT_ASSERT(!outcome.fault && !outcome.reused);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), outcome.body);
    }

    void connectionWithIncompleteRequestBodyIsNotReused()
    {
        for (const std::string body : { "", "abc" }) {
            CallOptions shortBody;
            shortBody.method = "POST";
            shortBody.contentLength = 10;
            shortBody.body = body;
            auto pending = call(shortBody);
            auto peer = accept(CompleteAnswer);
            (void)finish(pending);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void retiredConnectionsAreNotReused()
    {
        auto idle = call({});
        auto idlePeer = accept(CompleteAnswer);
        (void)finish(idle);
        CallOptions fresh;
        fresh.fresh = true;
        auto pending = call(fresh);
        auto openPeer = acceptOne();
        awaitRequest(openPeer);
        m_pool.closeIdleConnections(endpoint());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        openPeer.send(CompleteAnswer);
        CPPUNIT_ASSERT(!finish(pending).fault);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
    }

    void connectionClosedByPeerIsNotReused()
    {
        auto first = call({});
        auto peer = accept(CompleteAnswer);
        (void)finish(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pool.idle(endpoint()));
        peer.close();
        auto second = call({});
        auto other = accept(CompleteAnswer);
        const auto outcome = finish(second);
        CPPUNIT_ASSERT(!outcome.fault && !outcome.reused);
    }

    void freshCallOpensNewConnection()
    {
        auto first = call({});
        auto peer = accept(CompleteAnswer);
        (void)finish(first);
        CallOptions fresh;
        fresh.fresh = true;
        auto second = call(fresh);
        auto other = accept(CompleteAnswer);
        CPPUNIT_ASSERT(!finish(second).reused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_pool.idle(endpoint()));
    }

    void silentPeerTimesOutAtTheDeadline()
    {
        for (const std::string part :
             { "", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na" }) {
            CallOptions shortDeadline;
            shortDeadline.limit = milliseconds(150);
            auto pending = call(shortDeadline);
            auto peer = accept(part);
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT(outcome.fault == ResultCode::PeerSilent);
            CPPUNIT_ASSERT(outcome.started);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void refusedConnectSendsNoRequestBytes()
    {
        const auto closedEndpoint = endpoint();
        m_acceptor.close();
        auto pending = call({}, closedEndpoint);
        const auto outcome = finish(pending);
        CPPUNIT_ASSERT(outcome.fault == ResultCode::TargetUnreachable);
        CPPUNIT_ASSERT(!outcome.started);
    }

    void cancelAbortsPendingRead()
    {
        CallOptions cancelled;
        cancelled.cancel = true;
        auto pending = call(cancelled);
        auto peer = acceptOne();
        const auto outcome = finish(pending);
        CPPUNIT_ASSERT(outcome.fault == ResultCode::CallerCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
    }

private:
    using Pending = std::shared_ptr<std::optional<Outcome>>;

    Endpoint endpoint() const { return { "127.0.0.1", m_port }; }

    Pending call(const CallOptions &options) { return call(options, endpoint()); }

    Pending call(const CallOptions &options, const Endpoint &peer)
    {
        auto pending = std::make_shared<std::optional<Outcome>>();
        asio::co_spawn(
            m_context, [this, options, peer, pending] { return run(options, peer, pending); },
            asio::detached);
        m_context.restart();
        m_context.poll();
        return pending;
    }

    asio::awaitable<void> run(CallOptions options, Endpoint peer, Pending pending)
    {
        Outcome outcome;
        std::unique_ptr<ClientExchange> exchange;
        try {
            const Instant deadline = monotonicNow() + options.limit;
            exchange = co_await m_pool.open(peer, options.fresh, deadline);
            co_await sendAndReceive(*exchange, options, deadline, outcome);
        } catch (const Error &error) {
            outcome.fault = error.code();
        }
        if (exchange) {
            outcome.started = exchange->requestStarted();
            outcome.reused = exchange->reused();
            m_pool.release(std::move(exchange));
        }
        *pending = outcome;
    }

    asio::awaitable<void> sendAndReceive(ClientExchange &exchange, const CallOptions &options,
                                         Instant deadline, Outcome &outcome)
    {
        HttpRequestHead head;
        head.method = options.method;
        head.target = "/";
        head.contentLength = options.contentLength;
        co_await exchange.sendHead(head, deadline);
        if (head.hasBody()) {
            const std::span<const std::uint8_t> bytes(
                reinterpret_cast<const std::uint8_t *>(options.body.data()), options.body.size());
            co_await exchange.sendBody(bytes, deadline);
        }
        co_await exchange.finishRequest(deadline);
        if (!options.readAnswer)
            co_return;
        if (options.cancel)
            asio::post(m_context, [&exchange] { exchange.cancel(); });
        (void)co_await exchange.readHead(deadline);
        std::array<std::uint8_t, 64> buffer {};
        const std::span<std::uint8_t> view(buffer);
        while (options.readBody) {
            const auto n = co_await exchange.readBody(view, deadline);
            if (n == 0)
                break;
            outcome.body.append(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    void runUntilDone(const Pending &pending)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(2 * WaitSeconds);
        m_context.restart();
        while (!*pending && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_until(limit);
        }
    }

    Outcome finish(const Pending &pending)
    {
        runUntilDone(pending);
        CPPUNIT_ASSERT(pending->has_value());
        return **pending;
    }

    RawSocket acceptOne()
    {
        pollfd waiting { m_acceptor.native_handle(), POLLIN, 0 };
        CPPUNIT_ASSERT(::poll(&waiting, 1, WaitSeconds * 1000) > 0);
        return RawSocket(m_acceptor.accept());
    }

    // Runs the event loop until the request has arrived.
    void awaitRequest(RawSocket &peer)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(WaitSeconds);
        while (!peer.hasData() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(milliseconds(1));
        }
        peer.readUntil("\r\n\r\n");
    }

    RawSocket accept(const std::string &answer)
    {
        auto peer = acceptOne();
        awaitRequest(peer);
        peer.send(answer);
        return peer;
    }

    Outcome exchange(RawSocket &peer, const std::string &answer, const CallOptions &options = {})
    {
        peer.clearReceived();
        auto pending = call(options);
        awaitRequest(peer);
        peer.send(answer);
        return finish(pending);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor { m_context, { asio::ip::address_v4::loopback(), 0 } };
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
    HttpClientPool m_pool { m_context, 4, seconds(60) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace
