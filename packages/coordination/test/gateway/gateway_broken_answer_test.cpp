#include <gateway/gateway_fixture.hpp>
#include <http/broken_answers.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;
using ggv::RouteKind;

const std::string SoundFields = IdHeader + MarkerHeader;
const std::string NotRunFields = SoundFields + "Not-Run: 1\r\n";
const std::string WholeBody = "\r\n\r\nwhole";

ScriptedTarget::Script sends(const std::string &bytes, bool closes)
{
    return [bytes, closes](const std::string &) { return ScriptedAnswer { bytes, closes, false }; };
}

class GatewayBrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayBrokenAnswerTest);
    CPPUNIT_TEST(invalidStatusDoesNotReachTheCaller);
    CPPUNIT_TEST(invalidStatusDoesNotShowThatNothingWasExecuted);
    CPPUNIT_TEST(invalidFieldNameDoesNotReachTheCaller);
    CPPUNIT_TEST(invalidTrailerNameDoesNotReachTheCaller);
    CPPUNIT_TEST(foldedLineDoesNotReachTheCaller);
    CPPUNIT_TEST(unknownCodingDoesNotReachTheCaller);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalidStatusDoesNotReachTheCaller()
    {
        requireNoAnswer(answersWithInvalidStatus(SoundFields));
    }

    // The target may have executed the request: what it sent is no response, so that its headers
    // state nothing.
    void invalidStatusDoesNotShowThatNothingWasExecuted()
    {
        requireNoAnswer(answersWithInvalidStatus(NotRunFields));
    }

    void invalidFieldNameDoesNotReachTheCaller()
    {
        requireNoAnswer(answersWithInvalidName(SoundFields));
        requireNoAnswer(answersWithInvalidName(NotRunFields));
    }

    void invalidTrailerNameDoesNotReachTheCaller()
    {
        requireNoAnswer(answersWithInvalidTrailerName(SoundFields));
    }

    void foldedLineDoesNotReachTheCaller()
    {
        requireNoAnswer(answersWithFoldedLine(SoundFields));
        requireNoAnswer(answersWithFoldedLine(NotRunFields));
    }

    // Without its coding, the body isn't the target's.
    void unknownCodingDoesNotReachTheCaller()
    {
        requireNoAnswer(answersWithUnknownCoding(SoundFields));
        requireNoAnswer(answersWithUnknownCoding(NotRunFields));
    }

private:
    // Idempotent requests are sent to the second target, others fail without another attempt.
    static void requireNoAnswer(const std::vector<BrokenAnswer> &answers)
    {
        std::string failed;
        for (const auto &it : answers) {
            for (const bool closes : { false, true }) {
                failed += difference(it, closes, RouteKind::Idempotent, "200", 2);
                failed += difference(it, closes, RouteKind::NonIdempotent, "502", 1);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    static std::string difference(const BrokenAnswer &answer, bool closes, RouteKind kind,
                                  const std::string &status, std::size_t requests)
    {
        GatewayFixture fixture;
        fixture.addTarget(sends(answer.bytes, closes));
        fixture.addTarget(success);
        fixture.start(kind, 2);
        const auto text = fixture.call();
        const bool isWhole = status != "200" || text.ends_with(WholeBody);
        if (text.starts_with("HTTP/1.1 " + status) && isWhole
            && fixture.receivedRequests() == requests)
            return {};
        return answer.name + (closes ? ", closed, " : ", open, ")
            + (kind == RouteKind::Idempotent ? "idempotent: " : "non-idempotent: ")
            + printable(text) + ", " + std::to_string(fixture.receivedRequests()) + " requests\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayBrokenAnswerTest);

} // namespace
