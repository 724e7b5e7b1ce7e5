#include <gateway/gateway_fixture.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;
using ggv::RouteKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! A response of the first target that goes on without end; the second target succeeds.
struct EndlessCase
{
    const char *name;
    std::string start;
    std::string pattern;
    milliseconds pause { 0 }; //!< Time between two repetitions of the pattern.
};

const std::string Success = "HTTP/1.1 200 OK\r\n" + IdHeader + MarkerHeader;
const std::string Rejection = "HTTP/1.1 503 Full\r\n" + IdHeader + "Not-Run: 1\r\n";
const std::string Misdirected = "HTTP/1.1 421 Moved\r\n" + IdHeader + "Instance: x\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string GiantLength = "Content-Length: 1152921504606846976\r\n\r\n";
const std::string Line = "A: x\r\n";

const EndlessCase NoAnswerCases[] = {
    { "letters", "", "x" },
    { "letters, slowly", "", "x", milliseconds(20) },
    { "status line", "HTTP/1.1 200 O", "K" },
    { "header line", Success + "A: ", "x" },
    { "header lines", Success, Line },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "chunk extension", Success + Chunked + "1;a=", "x" },
    { "trailer", Success + Chunked + "1\r\nx\r\n0\r\n", Line },
};

const EndlessCase RejectionCases[] = {
    { "body until close", Rejection + "\r\n", "x" },
    { "giant length", Rejection + GiantLength, "x" },
    { "chunks", Rejection + Chunked, "1\r\nx\r\n" },
    { "chunk extension", Rejection + Chunked + "1;a=", "x" },
    { "trailer", Rejection + Chunked + "0\r\n", Line },
    { "bytes after a complete response", Rejection + "Content-Length: 4\r\n\r\nfull", "x" },
    { "slow body", Rejection + "Content-Length: 4000\r\n\r\n", "x", milliseconds(10) },
    { "slow chunks", Rejection + Chunked, "1\r\nx\r\n", milliseconds(10) },
    { "misdirected, giant length", Misdirected + GiantLength, "x" },
    { "misdirected, chunks", Misdirected + Chunked, "1\r\nx\r\n" },
};

const EndlessCase BodyCases[] = {
    { "body until close", Success + "\r\n", "x" },
    { "giant length", Success + GiantLength, "x" },
    { "chunks", Success + Chunked, "4\r\nxxxx\r\n" },
    { "chunk extension after chunks",
      Success + Chunked + "20000\r\n" + std::string(0x20000, 'x') + "\r\n1;a=", "x" },
};

ScriptedTarget::Script endless(const EndlessCase &it)
{
    return [it](const std::string &) {
        return ScriptedAnswer { it.start, false, false, it.pattern, it.pause };
    };
}

//! A response that isn't sent to its end.
ScriptedTarget::Script stopped(const std::string &bytes, bool close)
{
    return [bytes, close](const std::string &) { return ScriptedAnswer { bytes, close, false }; };
}

class GatewayEndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayEndlessAnswerTest);
    CPPUNIT_TEST(endlessBytesThatAreNoAnswerEndTheAttemptAtOnce);
    CPPUNIT_TEST(rejectionIsRetriedWithoutItsBody);
    CPPUNIT_TEST(rejectionWithShortBodyKeepsItsConnection);
    CPPUNIT_TEST(endlessBodyIsCutAtTheDeadline);
    CPPUNIT_TEST(endlessBodyLeavesTheEventLoopToOtherRequests);
    CPPUNIT_TEST(endlessBytesAfterAnswerDoNotReachTheCaller);
    CPPUNIT_TEST(longBodyUntilClosePassesWhole);
    CPPUNIT_TEST(manyShortHeaderLinesCostLittleTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessBytesThatAreNoAnswerEndTheAttemptAtOnce()
    {
        std::string failed;
        for (const auto &it : NoAnswerCases) {
            failed += difference(it, RouteKind::Idempotent, "200", 2);
            failed += difference(it, RouteKind::NonIdempotent, "502", 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    // The head alone says that the request was not executed.
    void rejectionIsRetriedWithoutItsBody()
    {
        std::string failed;
        for (const auto &it : RejectionCases) {
            failed += difference(it, RouteKind::Idempotent, "200", 2);
            failed += difference(it, RouteKind::NonIdempotent, "200", 2);
        }
        for (const bool close : { false, true }) {
            const std::string bytes = Rejection + "Content-Length: 9\r\n\r\nhalf";
            failed += differenceOf(close ? "cut body" : "stopped body", stopped(bytes, close),
                                   RouteKind::NonIdempotent, "200", 2, !close);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    void rejectionWithShortBodyKeepsItsConnection()
    {
        GatewayFixture fixture;
        fixture.addTarget(notExecuted);
        fixture.start(RouteKind::NonIdempotent, 2);
        for (int n = 0; n < 3; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("503"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fixture.receivedRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.target(0).acceptedConnections());
    }

    void endlessBodyIsCutAtTheDeadline()
    {
        for (const auto &it : BodyCases) {
            GatewayFixture fixture;
            fixture.addTarget(endless(it));
            fixture.addTarget(success);
            fixture.start(RouteKind::Idempotent, 2);
            const auto startedAt = std::chrono::steady_clock::now();
            auto caller = fixture.send("400");
            const auto text = caller.readToEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string("200"), text.substr(9, 3));
            CPPUNIT_ASSERT_MESSAGE(it.name, !text.ends_with("\r\n0\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(it.name, caller.streamEnd() == StreamEnd::Reset);
            CPPUNIT_ASSERT_MESSAGE(it.name,
                                   std::chrono::steady_clock::now() - startedAt < seconds(2));
            CPPUNIT_ASSERT_MESSAGE(it.name, isEndedSoon(fixture.target(0)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t { 1 }, fixture.receivedRequests());
        }
    }

    void endlessBodyLeavesTheEventLoopToOtherRequests()
    {
        GatewayFixture fixture;
        const auto firstIsEndless = std::make_shared<std::atomic<int>>(0);
        fixture.addTarget([firstIsEndless](const std::string &request) {
            return (*firstIsEndless)++ == 0 ? endless(BodyCases[1])(request) : success(request);
        });
        fixture.start(RouteKind::Idempotent, 2);
        std::atomic<bool> ended = false;
        auto caller = fixture.send("600");
        std::thread reader([&] {
            (void)caller.readToEnd();
            ended = true;
        });
        int answered = 0;
        while (!ended) {
            if (fixture.call().starts_with("HTTP/1.1 200"))
                ++answered;
        }
        reader.join();
        CPPUNIT_ASSERT(answered > 10);
    }

    void endlessBytesAfterAnswerDoNotReachTheCaller()
    {
        const EndlessCase it { "extra bytes", answer("200", IdHeader + MarkerHeader, "whole"),
                               answer("200", IdHeader + MarkerHeader, "extra") };
        GatewayFixture fixture;
        fixture.addTarget(endless(it));
        fixture.start(RouteKind::NonIdempotent, 2);
        for (int n = 0; n < 3; ++n) {
            const auto text = fixture.call();
            CPPUNIT_ASSERT_EQUAL(std::string("200"), text.substr(9, 3));
            CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
        }
        CPPUNIT_ASSERT(isEndedSoon(fixture.target(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fixture.target(0).acceptedConnections());
    }

    void longBodyUntilClosePassesWhole()
    {
        const std::string body(1024UL * 1024, 'y');
        GatewayFixture fixture;
        fixture.addTarget(stopped(Success + "\r\n" + body, true));
        fixture.start(RouteKind::NonIdempotent, 2);
        auto caller = fixture.send();
        const auto text = caller.readToEnd();
        CPPUNIT_ASSERT_EQUAL(std::string("200"), text.substr(9, 3));
        CPPUNIT_ASSERT(text.ends_with("\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(caller.streamEnd() == StreamEnd::Closed);
        const auto bodyAt = text.find("\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(
            static_cast<std::ptrdiff_t>(body.size()),
            std::count(text.begin() + static_cast<std::ptrdiff_t>(bodyAt), text.end(), 'y'));
    }

    // Also with as many names in the Connection header.
    void manyShortHeaderLinesCostLittleTime()
    {
        std::string lines;
        while (lines.size() < 30'000)
            lines += "a:\r\n";
        std::string names = "Connection: b";
        while (names.size() < 30'000)
            names += ",b";
        names += "\r\n";
        for (const std::string &head : { lines + lines, lines + names }) {
            const std::string bytes = Success + head + "Content-Length: 5\r\n\r\nwhole";
            const std::string failed
                = differenceOf("short lines", stopped(bytes, false), RouteKind::NonIdempotent,
                               "200", 1, false, milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::string(), failed);
        }
    }

private:
    static std::string difference(const EndlessCase &it, RouteKind kind, const std::string &status,
                                  std::size_t requests)
    {
        return differenceOf(it.name, endless(it), kind, status, requests, true);
    }

    // Returns an empty text if the caller gets the status long before its deadline, and the
    // target's connection is closed.
    static std::string differenceOf(const std::string &name, ScriptedTarget::Script script,
                                    RouteKind kind, const std::string &status, std::size_t requests,
                                    bool closedByGateway, milliseconds maxTime = milliseconds(1000))
    {
        GatewayFixture fixture;
        fixture.addTarget(std::move(script));
        fixture.addTarget(success);
        fixture.start(kind, 2);
        const auto startedAt = std::chrono::steady_clock::now();
        const auto text = fixture.call("2000");
        const auto elapsed = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - startedAt);
        const bool isExpected = text.substr(9, 3) == status
            && fixture.receivedRequests() == requests && elapsed < maxTime
            && (!closedByGateway || isEndedSoon(fixture.target(0)));
        if (isExpected)
            return {};
        return name + ": " + text.substr(9, 3) + " for " + status + " after "
            + std::to_string(elapsed.count()) + " ms, " + std::to_string(fixture.receivedRequests())
            + " requests\n";
    }

    static bool isEndedSoon(const ScriptedTarget &target)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(5);
        while (!target.peerClosed() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        return target.peerClosed();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayEndlessAnswerTest);

} // namespace
