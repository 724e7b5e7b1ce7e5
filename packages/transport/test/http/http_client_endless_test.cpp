#include <http/http_client_fixture.hpp>

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string InterimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

class HttpClientEndlessTest : public HttpClientFixture
{
    CPPUNIT_TEST_SUITE(HttpClientEndlessTest);
    CPPUNIT_TEST(answerInSmallPiecesPassesWhole);
    CPPUNIT_TEST(drippingAnswerEndsAtTheDeadline);
    CPPUNIT_TEST(bodyUntilClosePassesWhole);
    CPPUNIT_TEST_SUITE_END();

public:
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

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_for(milliseconds(1));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientEndlessTest);

} // namespace
