#include <http/broken_answers.hpp>
#include <http/http_client_fixture.hpp>

#include <cctype>
#include <climits>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;

//! Statuses of complete responses; those below announce one, and others aren't valid.
constexpr int FirstFinalStatus = 200;
constexpr int LastValidStatus = 599;
constexpr int MaxThreeDigits = 999;
//! Reached only by calls that wait for the end of a broken response.
constexpr Duration CallLimit = std::chrono::seconds(2);

class HttpClientBrokenAnswerTest : public HttpClientFixture
{
    CPPUNIT_TEST_SUITE(HttpClientBrokenAnswerTest);
    CPPUNIT_TEST(invalidStatusIsAnError);
    CPPUNIT_TEST(everyStatusOutsideOfTheValidRangeIsAnError);
    CPPUNIT_TEST(invalidFieldNameIsAnError);
    CPPUNIT_TEST(everyByteOfAFieldNameIsChecked);
    CPPUNIT_TEST(foldedLineIsAnError);
    CPPUNIT_TEST(unknownTransferCodingIsAnError);
    CPPUNIT_TEST(chunkedCodingIsRecognisedInAnyCase);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalidStatusIsAnError()
    {
        requireErrors(answersWithInvalidStatus(""), ResultCode::TargetConnectionLost);
    }

    void invalidFieldNameIsAnError()
    {
        requireErrors(answersWithInvalidName(""), ResultCode::TargetConnectionLost);
        requireErrors(answersWithInvalidTrailerName(""), ResultCode::TargetAnswerTruncated);
    }

    void foldedLineIsAnError()
    {
        requireErrors(answersWithFoldedLine(""), ResultCode::TargetConnectionLost);
    }

    void unknownTransferCodingIsAnError()
    {
        requireErrors(answersWithUnknownCoding(""), ResultCode::TargetConnectionLost);
    }

    void chunkedCodingIsRecognisedInAnyCase()
    {
        for (const std::string coding : { "chunked", "Chunked", "CHUNKED", " chunked " }) {
            auto pending = call({});
            auto peer = accept("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding
                               + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            const auto outcome = finish(pending);
            CPPUNIT_ASSERT_MESSAGE(coding, !outcome.fault && outcome.body == "ok");
            m_pool.closeIdleConnections(endpoint());
        }
    }

    void everyByteOfAFieldNameIsChecked()
    {
        std::string failed;
        for (int value = 0; value <= UCHAR_MAX; ++value) {
            const char byte = static_cast<char>(value);
            const bool endsName = byte == ':';
            auto pending = call({});
            auto peer = accept("HTTP/1.1 200 OK\r\nX" + std::string(1, byte)
                               + "Y: z\r\nContent-Length: 0\r\n\r\n");
            const auto outcome = finish(pending);
            if (outcome.fault.has_value() == (endsName || isTokenCharacter(byte)))
                failed += printable(std::string(1, byte)) + " ";
            peer.close();
            m_pool.closeIdleConnections(endpoint());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    void everyStatusOutsideOfTheValidRangeIsAnError()
    {
        std::string failed;
        for (int status = 0; status <= MaxThreeDigits; ++status) {
            if (status / 100 == 1)
                continue;
            std::string text = std::to_string(status);
            text.insert(0, 3 - text.size(), '0');
            const bool isValid = status >= FirstFinalStatus && status <= LastValidStatus;
            auto pending = call({});
            auto peer = accept("HTTP/1.1 " + text + " Text\r\nContent-Length: 0\r\n\r\n");
            const auto outcome = finish(pending);
            if (outcome.fault.has_value() == isValid)
                failed += text + " ";
            peer.close();
            m_pool.closeIdleConnections(endpoint());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

private:
    // Each answer comes at once, byte by byte, and on a connection that is used again; the
    // connection stays open or is closed after it.
    void requireErrors(const std::vector<BrokenAnswer> &answers, ResultCode expected)
    {
        m_expected = expected;
        std::string failed;
        for (const auto &it : answers) {
            for (const bool closes : { false, true }) {
                failed += difference(it, closes, false);
                failed += difference(it, closes, true);
                failed += differenceWhenReused(it, closes);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    static CallOptions limited()
    {
        CallOptions options;
        options.limit = CallLimit;
        return options;
    }

    // RFC 9110 5.6.2: the characters of a token.
    static bool isTokenCharacter(char c)
    {
        constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
        return std::isalnum(static_cast<unsigned char>(c)) != 0
            || (c != '\0' && Marks.find(c) != std::string_view::npos);
    }

    std::string difference(const BrokenAnswer &answer, bool closes, bool inPieces)
    {
        auto pending = call(limited());
        auto peer = accept("");
        send(peer, answer.bytes, inPieces);
        if (closes)
            peer.close();
        return describe(answer, finish(pending), closes, inPieces ? "in pieces" : "at once");
    }

    std::string differenceWhenReused(const BrokenAnswer &answer, bool closes)
    {
        auto first = call({});
        auto peer = accept(CompleteAnswer);
        CPPUNIT_ASSERT(!finish(first).fault);
        peer.clearReceived();
        auto pending = call(limited());
        awaitRequest(peer);
        send(peer, answer.bytes, false);
        if (closes)
            peer.close();
        const auto outcome = finish(pending);
        CPPUNIT_ASSERT(outcome.reused);
        return describe(answer, outcome, closes, "on a reused connection");
    }

    void send(RawSocket &peer, const std::string &bytes, bool inPieces)
    {
        if (!inPieces) {
            peer.send(bytes);
            return;
        }
        for (const char byte : bytes) {
            peer.send(std::string(1, byte));
            m_context.restart();
            m_context.poll();
        }
    }

    // Returns an empty text if the call ended with an error and its connection is not kept.
    std::string describe(const BrokenAnswer &answer, const Outcome &outcome, bool closes,
                         const std::string &how)
    {
        const std::size_t idle = m_pool.idle(endpoint());
        m_pool.closeIdleConnections(endpoint());
        if (outcome.fault == m_expected && idle == 0)
            return {};
        return answer.name + ", " + how + (closes ? ", closed" : ", open") + ": "
            + std::string(resultCodeName(outcome.fault.value_or(ResultCode::Ok))) + ", body '"
            + printable(outcome.body) + "', " + std::to_string(idle) + " idle\n";
    }

    ResultCode m_expected = ResultCode::TargetConnectionLost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientBrokenAnswerTest);

} // namespace
