#include <http/http_client_fixture.hpp>

#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpClientTest : public HttpClientFixture
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace
