#include <gateway/gateway_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace {

using namespace ggv::test;
using ggv::RouteKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Behaviour of the first target, and the expected result; the second target succeeds.
struct FailureCase
{
    const char *name;
    ScriptedTarget::Script first;
    RouteKind kind;
    const char *status;
    std::size_t receivedRequests; //!< Expected requests received by targets.
};

const FailureCase FailureCases[] = {
    { "server error, idempotent", serverError, RouteKind::Idempotent, "200", 2 },
    { "server error, non-idempotent", serverError, RouteKind::NonIdempotent, "500", 1 },
    { "connection lost, idempotent", connectionLost, RouteKind::Idempotent, "200", 2 },
    { "connection lost, non-idempotent", connectionLost, RouteKind::NonIdempotent, "502", 1 },
    { "truncated, idempotent", truncated, RouteKind::Idempotent, "200", 2 },
    { "truncated, non-idempotent", truncated, RouteKind::NonIdempotent, "502", 1 },
    { "not executed, idempotent", notExecuted, RouteKind::Idempotent, "200", 2 },
    { "not executed, non-idempotent", notExecuted, RouteKind::NonIdempotent, "200", 2 },
    { "not executed without id on a new connection", notExecutedWithoutId, RouteKind::NonIdempotent,
      "200", 2 },
    { "target replaced, idempotent", replacedTarget, RouteKind::Idempotent, "200", 2 },
    { "target replaced, non-idempotent", replacedTarget, RouteKind::NonIdempotent, "200", 2 },
    { "wrong request id, idempotent", wrongRequestId, RouteKind::Idempotent, "200", 2 },
    { "wrong request id, non-idempotent", wrongRequestId, RouteKind::NonIdempotent, "502", 1 },
    { "no integrity marker, idempotent", answerWithoutMarker, RouteKind::Idempotent, "200", 2 },
    { "no integrity marker, non-idempotent", answerWithoutMarker, RouteKind::NonIdempotent, "502",
      1 },
    { "503 after execution, non-idempotent", unavailableAfterExecution, RouteKind::NonIdempotent,
      "502", 1 },
    { "late rejection of another request, idempotent", notExecutedOfAnotherRequest,
      RouteKind::Idempotent, "200", 2 },
    { "late rejection of another request, non-idempotent", notExecutedOfAnotherRequest,
      RouteKind::NonIdempotent, "502", 1 },
    { "late 421 of another request, non-idempotent", misdirectedOfAnotherRequest,
      RouteKind::NonIdempotent, "502", 1 },
    { "server error, upload", serverError, RouteKind::Upload, "500", 1 },
    { "connection lost, upload", connectionLost, RouteKind::Upload, "502", 1 },
    { "not executed, upload", notExecuted, RouteKind::Upload, "200", 2 },
    { "close-delimited, non-idempotent", closeDelimited, RouteKind::NonIdempotent, "200", 1 },
};

class GatewayRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayRequestTest);
    CPPUNIT_TEST(eachTargetFailureGivesItsStatus);
    CPPUNIT_TEST(retryAfterTruncationGivesCompleteAnswer);
    CPPUNIT_TEST(answerThatIsCutAfterItsStartIsNotRetried);
    CPPUNIT_TEST(answers503IfNoTargetExecuted);
    CPPUNIT_TEST(unreachableTargetIsReplacedForNonIdempotentRequest);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(silentTargetTimesOutAtDeadline);
    CPPUNIT_TEST(remainingTimeIsForwarded);
    CPPUNIT_TEST(callerDisconnectCancelsAttempt);
    CPPUNIT_TEST(unknownPathsAndMissingRoutesAreRejected);
    CPPUNIT_TEST(requestWaitsForFirstRoutes);
    CPPUNIT_TEST(shutdownRejectsRequestsWithLaterDeadline);
    CPPUNIT_TEST(bodyThatEndsDuringShutdownIsNotForwarded);
    CPPUNIT_TEST(requestIsNotSentAgainDuringShutdown);
    CPPUNIT_TEST(leavingTargetGetsNoFurtherRequest);
    CPPUNIT_TEST(rejectingTargetGetsNoRequestForTheStatedTime);
    CPPUNIT_TEST(invalidRetryAfterIsIgnored);
    CPPUNIT_TEST(targetThatHasTheObjectIsAskedOnceMore);
    CPPUNIT_TEST(lateCopyOfARejectionIsNotTheAnswerToTheNextAttempt);
    CPPUNIT_TEST(rejectionWithoutIdOnAReusedConnectionIsNotBelieved);
    CPPUNIT_TEST(headThatIsCutAnywhereIsNoAnswer);
    CPPUNIT_TEST(statedRateLimitIsKnown);
    CPPUNIT_TEST(rateLimitedTargetGetsNoMoreThanItStates);
    CPPUNIT_TEST(requestsBeyondAllRateLimitsAreRejectedAtOnce);
    CPPUNIT_TEST(bodiesBeyondTheMemoryAreRejectedUnread);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachTargetFailureGivesItsStatus()
    {
        for (const auto &it : FailureCases) {
            GatewayFixture fixture;
            fixture.addTarget(it.first);
            fixture.addTarget(success);
            fixture.start(it.kind, 2);
            const auto text = fixture.call();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.status), text.substr(9, 3));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.receivedRequests, fixture.receivedRequests());
        }
    }

    void retryAfterTruncationGivesCompleteAnswer()
    {
        GatewayFixture fixture;
        fixture.addTarget(truncated);
        fixture.addTarget(success);
        fixture.start(RouteKind::Idempotent, 2);
        const auto text = fixture.call();
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
        CPPUNIT_ASSERT(text.find("half") == std::string::npos);
        CPPUNIT_ASSERT(text.find(MarkerHeader) != std::string::npos);
    }

    // A second answer would be read as the rest of the first one's body.
    void answerThatIsCutAfterItsStartIsNotRetried()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n" + IdHeader + MarkerHeader;
        const std::string body(200'000, 'x');
        const std::string lengthOfBody = "Content-Length: " + std::to_string(body.size());
        const auto second = answer("200", IdHeader + MarkerHeader, body);
        for (const std::string &first :
             { head + lengthOfBody + "\r\n\r\n" + body.substr(0, 100'000),
               head + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + body.substr(0, 100'000) }) {
            GatewayFixture fixture;
            fixture.addTarget([&](const std::string &) {
                return ScriptedAnswer { first, true, false };
            });
            fixture.addTarget([&](const std::string &) {
                return ScriptedAnswer { second, false, false };
            });
            fixture.start(RouteKind::Idempotent, 2);
            auto caller = fixture.send();
            const auto text = caller.readToEnd();
            CPPUNIT_ASSERT(caller.streamEnd() == StreamEnd::Reset);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, text.rfind("HTTP/1.1 200"));
            CPPUNIT_ASSERT(text.size() < body.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
        }
    }

    void answers503IfNoTargetExecuted()
    {
        GatewayFixture fixture;
        fixture.addTarget(notExecuted);
        fixture.addTarget(notExecuted);
        fixture.start(RouteKind::NonIdempotent, 2);
        const auto text = fixture.call();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
        CPPUNIT_ASSERT(text.find("Retry-After: 0.") != std::string::npos);
    }

    void unreachableTargetIsReplacedForNonIdempotentRequest()
    {
        GatewayFixture fixture;
        fixture.addClosedTarget();
        fixture.addTarget(success);
        fixture.start(RouteKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
    }

    void attemptsAreBounded()
    {
        GatewayFixture fixture;
        for (int n = 0; n < 4; ++n)
            fixture.addTarget(serverError);
        fixture.start(RouteKind::Idempotent, 3);
        const auto text = fixture.call();
        CPPUNIT_ASSERT_EQUAL(std::string("500"), text.substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fixture.receivedRequests());
    }

    void silentTargetTimesOutAtDeadline()
    {
        GatewayFixture fixture;
        fixture.addTarget(noAnswer);
        fixture.start(RouteKind::NonIdempotent, 2);
        const auto startedAt = std::chrono::steady_clock::now();
        const auto text = fixture.call("300");
        CPPUNIT_ASSERT_EQUAL(std::string("504"), text.substr(9, 3));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < seconds(2));
    }

    void remainingTimeIsForwarded()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.start(RouteKind::NonIdempotent, 2);
        (void)fixture.call("700");
        const auto request = fixture.target(0).requests().front();
        const std::string name = "Time-Left: ";
        const auto at = request.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(request.find(name, at + 1) == std::string::npos);
        const int remaining = std::stoi(request.substr(at + name.size()));
        CPPUNIT_ASSERT(remaining > 0 && remaining <= 700);
        CPPUNIT_ASSERT(request.find("Instance: t0\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("Id: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.ends_with("body"));
    }

    void callerDisconnectCancelsAttempt()
    {
        GatewayFixture fixture;
        fixture.addTarget(noAnswer);
        fixture.start(RouteKind::Idempotent, 2);
        auto caller = fixture.send("2900");
        waitUntil([&] { return fixture.receivedRequests() == 1; });
        caller.close();
        waitUntil([&] { return fixture.target(0).peerClosed(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
    }

    void unknownPathsAndMissingRoutesAreRejected()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.start(RouteKind::Idempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("404"), fixture.call("500", "/b/1").substr(9, 3));
        GatewayFixture empty;
        empty.addTarget(success);
        empty.start(RouteKind::Idempotent, 2, false);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), empty.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, empty.receivedRequests());
    }

    void requestWaitsForFirstRoutes()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.start(RouteKind::Idempotent, 2, false);
        auto caller = fixture.send("2900");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(!caller.hasData());
        fixture.setRoutes(RouteKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), caller.readToEnd().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
    }

    void shutdownRejectsRequestsWithLaterDeadline()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.shutDownAfter(milliseconds(1500));
        fixture.start(RouteKind::NonIdempotent, 2);
        const auto rejection = fixture.call("2500");
        CPPUNIT_ASSERT_EQUAL(std::string("503"), rejection.substr(9, 3));
        CPPUNIT_ASSERT(rejection.find("Retry-After: 0.0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fixture.receivedRequests());
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call("500").substr(9, 3));
    }

    // Guards against a request that is sent to a target and cut when the process ends: its head
    // arrived before the shutdown began, its body after it.
    void bodyThatEndsDuringShutdownIsNotForwarded()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.start(RouteKind::NonIdempotent, 2);
        auto socket = fixture.sendIncomplete("2500", "bo");
        fixture.beginShutdown(milliseconds(1500));
        socket.send("dy");
        const auto rejection = socket.readToEnd();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), rejection.substr(9, 3));
        CPPUNIT_ASSERT(rejection.find("Retry-After: 0.0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fixture.receivedRequests());
    }

    // Guards against the same for a request that was waiting to be sent again.
    void requestIsNotSentAgainDuringShutdown()
    {
        for (const auto &first : { &serverError, &notExecuted }) {
            GatewayFixture fixture;
            fixture.addTarget([&fixture, first](const std::string &request) {
                fixture.shutDownAfter(milliseconds(1500));
                return first(request);
            });
            fixture.addTarget(success);
            fixture.start(RouteKind::Idempotent, 2);
            const std::string expected = first == &serverError ? "500" : "503";
            CPPUNIT_ASSERT_EQUAL(expected, fixture.call("2500").substr(9, 3));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
        }
    }

    void leavingTargetGetsNoFurtherRequest()
    {
        GatewayFixture fixture;
        fixture.addTarget(leavingSuccess);
        fixture.addTarget(success);
        fixture.start(RouteKind::NonIdempotent, 2);
        for (int n = 0; n < 3; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.target(0).requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fixture.target(1).requests().size());
    }

    // All targets shed load: further requests are rejected at once, until the first period ends.
    void rejectingTargetGetsNoRequestForTheStatedTime()
    {
        GatewayFixture fixture;
        fixture.addTarget(rejectedFor5Seconds);
        fixture.addTarget(rejectedFor5Seconds);
        fixture.start(RouteKind::NonIdempotent, 2);
        for (int n = 0; n < 3; ++n) {
            const auto text = fixture.call();
            CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
            const std::string name = "Retry-After: ";
            const auto at = text.find(name);
            CPPUNIT_ASSERT(at != std::string::npos);
            const double wait = std::stod(text.substr(at + name.size()));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(wait), wait > 4.0 && wait < 6.0);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fixture.receivedRequests());
    }

    void invalidRetryAfterIsIgnored()
    {
        GatewayFixture fixture;
        fixture.addTarget(rejectedWithInvalidTime);
        fixture.start(RouteKind::NonIdempotent, 2);
        for (int n = 0; n < 2; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("503"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fixture.receivedRequests());
    }

    // It may reject only some requests; a second rejection sends the request elsewhere.
    void targetThatHasTheObjectIsAskedOnceMore()
    {
        for (const int rejections : { 1, 2 }) {
            std::atomic<int> received { 0 };
            GatewayFixture fixture;
            fixture.addTarget([&received, rejections](const std::string &request) {
                const int number = ++received;
                const bool rejects = number > 1 && number <= 1 + rejections;
                return rejects ? notExecuted(request) : success(request);
            });
            fixture.addTarget(success);
            fixture.start(RouteKind::NonIdempotent, 2);
            for (int n = 0; n < 2; ++n)
                CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
            CPPUNIT_ASSERT_EQUAL(3, received.load());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 2 } + static_cast<std::size_t>(rejections),
                                 fixture.receivedRequests());
        }
    }

    // The target rejects a request, accepts it when it comes again, and sends its rejection once
    // more on the connection of the first. The request ran at two targets.
    void lateCopyOfARejectionIsNotTheAnswerToTheNextAttempt()
    {
        int received = 0;
        int executed = 0;
        GatewayFixture fixture;
        const auto rejectsOnce = [&](const std::string &request) {
            ++received;
            if (received == 2)
                return notExecuted(request);
            ++executed;
            const bool isSameConnection = fixture.target(0).acceptedConnections() == 1;
            const bool sendsCopy = received == 3 && isSameConnection;
            return sendsCopy ? notExecuted(request) : success(request);
        };
        fixture.addTarget(rejectsOnce);
        fixture.addTarget([&executed](const std::string &request) {
            ++executed;
            return success(request);
        });
        fixture.start(RouteKind::NonIdempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(2, executed);
    }

    // It may be that of an earlier request, sent once more. A 421 that is not this request's is no
    // evidence of another target at the address either.
    void rejectionWithoutIdOnAReusedConnectionIsNotBelieved()
    {
        for (const auto &rejection : { notExecutedWithoutId, replacedTarget }) {
            std::atomic<int> received { 0 };
            GatewayFixture fixture;
            fixture.addTarget([&](const std::string &request) {
                return ++received == 2 ? rejection(request) : success(request);
            });
            fixture.addTarget(success);
            fixture.start(RouteKind::NonIdempotent, 2);
            CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
            CPPUNIT_ASSERT_EQUAL(std::string("502"), fixture.call().substr(9, 3));
            CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
            CPPUNIT_ASSERT_EQUAL(3, received.load());
        }
    }

    // A head without its end, whatever was received of it, gives neither a success nor a promise.
    void headThatIsCutAnywhereIsNoAnswer()
    {
        const std::string id = IdHeader;
        const std::string own = id + MarkerHeader;
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        std::vector<std::string> heads;
        for (const char *it : { "Content-Length: 5\r\n\r\n", "Connection: close\r\n\r\n" }) {
            heads.push_back("HTTP/1.1 200 OK\r\n");
            heads.back().append(own).append(it);
        }
        heads.push_back("HTTP/1.1 503 Full\r\n");
        heads.back().append(id).append("Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        heads.push_back(interim);
        heads.back().append("HTTP/1.1 200 OK\r\n").append(own).append("\r\n");
        for (const auto &whole : heads) {
            std::atomic<std::size_t> size { 0 };
            GatewayFixture fixture;
            fixture.addTarget([&](const std::string &) {
                return ScriptedAnswer { whole.substr(0, size), true, false };
            });
            fixture.start(RouteKind::NonIdempotent, 2);
            for (size = 0; size < whole.size(); ++size) {
                const auto text = fixture.call();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(whole.substr(0, size), std::string("502"),
                                             text.substr(9, 3));
            }
            CPPUNIT_ASSERT_EQUAL(whole.size(), fixture.receivedRequests());
        }
    }

    void statedRateLimitIsKnown()
    {
        GatewayFixture limited;
        limited.addTarget(rateLimitedSuccess);
        limited.start(RouteKind::NonIdempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), limited.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, limited.rateLimitedTargets());
        GatewayFixture unreadable;
        unreadable.addTarget(successWithInvalidRateLimit);
        unreadable.start(RouteKind::NonIdempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), unreadable.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, unreadable.rateLimitedTargets());
    }

    void rateLimitedTargetGetsNoMoreThanItStates()
    {
        constexpr double Limit = 2.5;
        GatewayFixture fixture;
        fixture.addTarget(rateLimitedSuccess);
        fixture.addTarget(success);
        fixture.start(RouteKind::NonIdempotent, 2);
        const auto startedAt = std::chrono::steady_clock::now();
        for (int n = 0; n < 20; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        const auto received = static_cast<double>(fixture.target(0).requests().size());
        CPPUNIT_ASSERT(received <= 1.0 + Limit * elapsed.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, fixture.receivedRequests());
    }

    void requestsBeyondAllRateLimitsAreRejectedAtOnce()
    {
        GatewayFixture fixture;
        fixture.addTarget(rateLimitedSuccess);
        fixture.start(RouteKind::NonIdempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
        const auto rejection = fixture.call();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), rejection.substr(9, 3));
        const std::string name = "Retry-After: ";
        const auto at = rejection.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        const double wait = std::stod(rejection.substr(at + name.size()));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(wait), wait > 0.0 && wait < 0.9);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.receivedRequests());
        std::this_thread::sleep_for(milliseconds(450));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fixture.call().substr(9, 3));
    }

    void bodiesBeyondTheMemoryAreRejectedUnread()
    {
        GatewayFixture fixture;
        fixture.addTarget(success);
        fixture.start(RouteKind::Upload, 2);
        auto large = fixture.send("2000", "/a/1", std::string(GatewayFixture::BodyMemory + 1, 'x'));
        const auto rejection = large.readToEnd();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), rejection.substr(9, 3));
        CPPUNIT_ASSERT(rejection.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fixture.receivedRequests());
        // The memory of an ended request is available again.
        for (int n = 0; n < 3; ++n) {
            auto fitting
                = fixture.send("2000", "/a/1", std::string(GatewayFixture::BodyMemory, 'x'));
            CPPUNIT_ASSERT_EQUAL(std::string("200"), fitting.readToEnd().substr(9, 3));
        }
    }

private:
    template <typename Condition>
    static void waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(ggv::test::WaitSeconds);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(condition());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRequestTest);

} // namespace
