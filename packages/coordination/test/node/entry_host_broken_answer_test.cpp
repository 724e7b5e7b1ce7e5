#include <http/broken_answers.hpp>
#include <node/entry_host_fixture.hpp>

#include <mutex>
#include <optional>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;

const std::string SoundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

constexpr int Targets = 8;
//! Requests that give the host the right to send one more again.
constexpr int RequestsPerRetry = 10;

//! A response that the next request gets, at whichever target.
class NextAnswer
{
public:
    void set(const BrokenAnswer &answer, bool closes)
    {
        const std::scoped_lock lock(m_mutex);
        m_answer = ScriptedAnswer { answer.bytes, closes, false };
    }

    //! @return The response that was set, once; a sound one otherwise.
    ScriptedAnswer take()
    {
        const std::scoped_lock lock(m_mutex);
        return std::exchange(m_answer, std::nullopt)
            .value_or(ScriptedAnswer { SoundAnswer, false, false });
    }

private:
    std::mutex m_mutex;
    std::optional<ScriptedAnswer> m_answer;
};

class EntryHostBrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryHostBrokenAnswerTest);
    CPPUNIT_TEST(invalidStatusDoesNotReachTheCaller);
    CPPUNIT_TEST(invalidFieldNameDoesNotReachTheCaller);
    CPPUNIT_TEST(foldedLineDoesNotReachTheCaller);
    CPPUNIT_TEST(unknownCodingDoesNotReachTheCaller);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalidStatusDoesNotReachTheCaller() { requireNoAnswer(answersWithInvalidStatus("")); }

    void invalidFieldNameDoesNotReachTheCaller() { requireNoAnswer(answersWithInvalidName("")); }

    void foldedLineDoesNotReachTheCaller() { requireNoAnswer(answersWithFoldedLine("")); }

    void unknownCodingDoesNotReachTheCaller() { requireNoAnswer(answersWithUnknownCoding("")); }

private:
    void requireNoAnswer(const std::vector<BrokenAnswer> &answers)
    {
        for (int n = 0; n < Targets; ++n)
            m_host.addTarget([this](const std::string &) { return m_next.take(); });
        CPPUNIT_ASSERT(m_host.start());
        std::string failed;
        for (const auto &it : answers) {
            for (const bool closes : { false, true }) {
                failed += differenceOfIdempotent(it, closes);
                failed += differenceOfNonIdempotent(it, closes);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

    // An idempotent request is sent again.
    std::string differenceOfIdempotent(const BrokenAnswer &answer, bool closes)
    {
        for (int n = 0; n < RequestsPerRetry; ++n)
            CPPUNIT_ASSERT(isSound(m_host.get()));
        m_next.set(answer, closes);
        const std::size_t before = m_host.receivedRequests();
        const auto text = m_host.get();
        const std::size_t requests = m_host.receivedRequests() - before;
        if (isSound(text) && requests == 2)
            return {};
        return describe(answer, closes, text, requests);
    }

    // Whether it was executed isn't known, neither now nor when the caller sends it again.
    std::string differenceOfNonIdempotent(const BrokenAnswer &answer, bool closes)
    {
        m_next.set(answer, closes);
        const std::size_t before = m_host.receivedRequests();
        const auto key = "key-" + std::to_string(++m_keys);
        const auto first = m_host.post(key);
        const auto second = m_host.post(key);
        const std::size_t requests = m_host.receivedRequests() - before;
        if (isUnknown(first, "502") && isUnknown(second, "409") && requests == 1)
            return {};
        return describe(answer, closes, first + " and " + second, requests);
    }

    static bool isSound(const std::string &text)
    {
        return text.starts_with("HTTP/1.1 200 OK\r\n") && text.ends_with("\r\n\r\nsound");
    }

    static bool isUnknown(const std::string &text, const std::string &status)
    {
        return text.starts_with("HTTP/1.1 " + status)
            && text.find("\r\nGgv-Verdict: unknown\r\n") != std::string::npos;
    }

    static std::string describe(const BrokenAnswer &answer, bool closes, const std::string &text,
                                std::size_t requests)
    {
        return answer.name + (closes ? ", closed: " : ", open: ") + printable(text) + ", "
            + std::to_string(requests) + " requests\n";
    }

    NextAnswer m_next;
    EntryHostFixture m_host;
    int m_keys = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostBrokenAnswerTest);

} // namespace
