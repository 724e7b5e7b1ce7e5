#include <http/endless_answers.hpp>
#include <http/http_client_fixture.hpp>
#include <net/endless_sender.hpp>
#include <net/heap_bytes.hpp>

#include <algorithm>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t MaxHeapGrowth = 1024UL * 1024;
//! Bytes that an endless sender may get rid of before its connection is closed: those that the
//! client reads and those in the buffers of the kernel.
constexpr std::size_t MaxSentBytes = 24UL * 1024 * 1024;
constexpr std::size_t EndlessBytes = 64UL * 1024 * 1024;
constexpr std::size_t InterimAnswersAllowed = 8;

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string InterimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t n = 0; n < count; ++n)
        all += text;
    return all;
}

class HttpClientEndlessTest : public HttpClientFixture
{
    CPPUNIT_TEST_SUITE(HttpClientEndlessTest);
    CPPUNIT_TEST(endlessHeadEndsAtItsLimit);
    CPPUNIT_TEST(endlessChunkHeaderOrTrailerEndsAtItsLimit);
    CPPUNIT_TEST(headerLinesInSmallPiecesEndAtTheLimit);
    CPPUNIT_TEST(interimAnswersAreBounded);
    CPPUNIT_TEST(switchedProtocolIsAnError);
    CPPUNIT_TEST(garbageInSmallPiecesIsAnErrorAtOnce);
    CPPUNIT_TEST(answerInSmallPiecesPassesWhole);
    CPPUNIT_TEST(drippingAnswerEndsAtTheDeadline);
    CPPUNIT_TEST(endlessBodyEndsAtTheDeadline);
    CPPUNIT_TEST(endlessBodyLeavesTheEventLoopToOtherCalls);
    CPPUNIT_TEST(endlessBytesAfterAnswerCloseTheConnection);
    CPPUNIT_TEST(bodyUntilClosePassesWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessHeadEndsAtItsLimit()
    {
        const std::string statusLine = "HTTP/1.1 200 OK\r\n";
        const std::vector<EndlessAnswer> cases {
            { "letters", "", "x" },
            { "line ends", "", "\r\n" },
            { "null bytes", "", std::string(1, '\0') },
            { "status line", "HTTP/1.1 200 O", "K" },
            { "header name", statusLine, "x" },
            { "header value", statusLine + "A: ", "x" },
            { "header lines", statusLine, "A: x\r\n" },
            { "null bytes after the status line", statusLine, std::string(1, '\0') },
            { "interim responses", "", InterimAnswer },
        };
        std::string failed;
        for (const auto &it : cases)
            failed += differenceFromRefusal(it, ResultCode::TargetConnectionLost);
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    void endlessChunkHeaderOrTrailerEndsAtItsLimit()
    {
        const std::vector<EndlessAnswer> cases {
            { "chunk size", ChunkedHead, "0" },
            { "chunk extension", ChunkedHead + "1;a=", "x" },
            { "chunk extension after a chunk", ChunkedHead + "2\r\nok\r\n1;a=", "x" },
            { "extension of the last chunk", ChunkedHead + "0;a=", "x" },
            { "trailer line", ChunkedHead + "0\r\nA: ", "x" },
            { "trailer lines", ChunkedHead + "0\r\n", "A: x\r\n" },
        };
        std::string failed;
        for (const auto &it : cases)
            failed += differenceFromRefusal(it, ResultCode::TargetAnswerTruncated);
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    // Each piece ends after the first byte of a line, so that the parser takes line by line.
    void headerLinesInSmallPiecesEndAtTheLimit()
    {
        auto pending = call(limited(seconds(5)));
        auto peer = accept("HTTP/1.1 200 OK\r\nA");
        const std::string piece = ": " + std::string(300, 'x') + "\r\nA";
        for (int n = 0; n < 1000 && !*pending; ++n) {
            peer.send(piece);
            m_context.restart();
            m_context.poll();
        }
        CPPUNIT_ASSERT(pending->has_value());
        CPPUNIT_ASSERT((*pending)->fault == ResultCode::TargetConnectionLost);
    }

    void interimAnswersAreBounded()
    {
        auto allowed = call(limited(seconds(5)));
        auto peer = accept(repeated(InterimAnswer, InterimAnswersAllowed) + CompleteAnswer);
        const auto outcome = finish(allowed);
        CPPUNIT_ASSERT(!outcome.fault && outcome.body == "ok");
        const auto refused
            = exchange(peer, repeated(InterimAnswer, InterimAnswersAllowed + 1) + CompleteAnswer);
        CPPUNIT_ASSERT(refused.fault == ResultCode::TargetConnectionLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
    }

    // No request asks for another protocol, and what follows is no response.
    void switchedProtocolIsAnError()
    {
        auto pending = call(limited(seconds(5)));
        auto peer = accept("HTTP/1.1 101 Switching Protocols\r\n\r\n" + CompleteAnswer);
        CPPUNIT_ASSERT(finish(pending).fault == ResultCode::TargetConnectionLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
    }

    void garbageInSmallPiecesIsAnErrorAtOnce()
    {
        for (const std::string bytes : { "x", "Hx", "HTTP/2", "HTTX", "\r\n", "http/1.1" }) {
            auto pending = call(limited(milliseconds(500)));
            auto peer = accept("");
            for (const char byte : bytes) {
                peer.send(std::string(1, byte));
                m_context.restart();
                m_context.poll();
            }
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT_MESSAGE(bytes, outcome.fault == ResultCode::TargetConnectionLost);
        }
    }

    void answerInSmallPiecesPassesWhole()
    {
        const std::string answer = InterimAnswer + ChunkedHead + "2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n";
        auto pending = call(limited(seconds(WaitSeconds)));
        auto peer = accept("");
        for (const char byte : answer) {
            peer.send(std::string(1, byte));
            m_context.restart();
            m_context.poll();
        }
        const auto outcome = finish(pending);
        CPPUNIT_ASSERT(!outcome.fault && outcome.body == "ok");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pool.idle(endpoint()));
    }

    void drippingAnswerEndsAtTheDeadline()
    {
        for (const std::string &start :
             { std::string("HTTP/1.1 200 OK\r\nA: "), ChunkedHead + "1;a=",
               std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n") }) {
            const Instant startedAt = monotonicNow();
            auto pending = call(limited(milliseconds(150)));
            auto peer = accept(start);
            while (!*pending && monotonicNow() - startedAt < seconds(WaitSeconds)) {
                peer.send("x");
                m_context.restart();
                m_context.run_for(milliseconds(5));
            }
            CPPUNIT_ASSERT_MESSAGE(start, pending->has_value());
            CPPUNIT_ASSERT_MESSAGE(start, (*pending)->fault == ResultCode::PeerSilent);
            CPPUNIT_ASSERT_MESSAGE(start, monotonicNow() - startedAt < seconds(2));
        }
    }

    void endlessBodyEndsAtTheDeadline()
    {
        for (const auto &it : endlessBodies()) {
            const Instant startedAt = monotonicNow();
            auto pending = call(limited(milliseconds(300)));
            EndlessSender sender(accept(""), it.start, it.pattern);
            const auto heapGrowth = finishMeasured(pending);
            CPPUNIT_ASSERT_MESSAGE(it.name, (*pending)->fault == ResultCode::PeerSilent);
            CPPUNIT_ASSERT_MESSAGE(it.name, monotonicNow() - startedAt < seconds(2));
            CPPUNIT_ASSERT_MESSAGE(it.name, (*pending)->bodyBytes > 0);
            CPPUNIT_ASSERT_MESSAGE(it.name, heapGrowth < MaxHeapGrowth);
            CPPUNIT_ASSERT_MESSAGE(it.name, sender.waitForClose());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void endlessBodyLeavesTheEventLoopToOtherCalls()
    {
        for (const auto &it : endlessBodies()) {
            auto endless = call(limited(milliseconds(500)));
            EndlessSender sender(accept(""), it.start, it.pattern);
            int answered = 0;
            while (!*endless) {
                auto other = call({});
                auto peer = accept(CompleteAnswer);
                const auto outcome = finish(other);
                CPPUNIT_ASSERT_MESSAGE(it.name, !outcome.fault && outcome.body == "ok");
                ++answered;
            }
            CPPUNIT_ASSERT_MESSAGE(it.name, answered > 10);
        }
    }

    // The bytes may come after the connection has become idle.
    void endlessBytesAfterAnswerCloseTheConnection()
    {
        for (const std::string pattern : { "x", CompleteAnswer.c_str() }) {
            auto pending = call(limited(seconds(WaitSeconds)));
            EndlessSender sender(accept(""), CompleteAnswer, pattern);
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT_MESSAGE(pattern, !outcome.fault && outcome.body == "ok");
            runUntil([&] { return sender.isClosed(); });
            CPPUNIT_ASSERT_MESSAGE(pattern, sender.isClosed());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
        }
    }

    void bodyUntilClosePassesWhole()
    {
        const std::string body(3UL * 1024 * 1024, 'x');
        auto pending = call({});
        auto peer = accept("");
        std::thread sender([&] {
            peer.send("HTTP/1.1 200 OK\r\n\r\n" + body);
            peer.close();
        });
        const auto outcome = finish(pending);
        sender.join();
        CPPUNIT_ASSERT(!outcome.fault && outcome.body == body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool.idle(endpoint()));
    }

private:
    static CallOptions limited(Duration limit)
    {
        CallOptions options;
        options.limit = limit;
        options.keepBody = limit > seconds(2);
        options.fresh = true;
        return options;
    }

    static std::vector<EndlessAnswer> endlessBodies()
    {
        return {
            { "until close", "HTTP/1.1 200 OK\r\n\r\n", "x" },
            { "giant length", "HTTP/1.1 200 OK\r\nContent-Length: 1152921504606846976\r\n\r\n",
              "x" },
            { "chunks", ChunkedHead, "2;a=b\r\nok\r\n" },
            { "large chunks", ChunkedHead, "1000\r\n" + std::string(0x1000, 'x') + "\r\n" },
            { "giant chunk", ChunkedHead + "1000000000000000\r\n", "x" },
        };
    }

    // Returns an empty text if the call ends with the code, within the bounds, and closes the
    // connection.
    std::string differenceFromRefusal(const EndlessAnswer &answer, ResultCode code)
    {
        auto pending = call(limited(seconds(5)));
        EndlessSender sender(accept(""), answer.start, answer.pattern, EndlessBytes);
        const auto heapGrowth = finishMeasured(pending);
        const auto fault = (*pending)->fault.value_or(ResultCode::Ok);
        const std::size_t sent = sender.sentBytes();
        const bool isRefused = fault == code && heapGrowth < MaxHeapGrowth && sent < MaxSentBytes
            && sender.waitForClose() && m_pool.idle(endpoint()) == 0;
        if (isRefused)
            return {};
        return answer.name + ": " + std::string(resultCodeName(fault)) + ", "
            + std::to_string(heapGrowth) + " bytes of heap, " + std::to_string(sent)
            + " bytes sent\n";
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_for(milliseconds(1));
        }
    }

    // Runs the event loop until the call has ended. Returns the largest growth of the heap.
    std::size_t finishMeasured(const Pending &pending)
    {
        const std::size_t before = heapBytes();
        std::size_t most = before;
        const auto limit = std::chrono::steady_clock::now() + seconds(WaitSeconds);
        while (!*pending && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_until(limit);
            most = std::max(most, heapBytes());
        }
        CPPUNIT_ASSERT(pending->has_value());
        return most - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientEndlessTest);

} // namespace
