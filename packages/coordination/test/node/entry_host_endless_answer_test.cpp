#include <http/endless_answers.hpp>
#include <net/heap_bytes.hpp>
#include <node/entry_host_fixture.hpp>

#include <algorithm>
#include <atomic>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;
using std::chrono::milliseconds;

//! Largest growth of the heap per request: the answer that is stored and the buffers of both
//! connections.
constexpr std::size_t MaxHeapGrowthPerRequest = 4UL * 1024 * 1024;
constexpr std::size_t Callers = 4;

class EntryHostEndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryHostEndlessAnswerTest);
    CPPUNIT_TEST(endlessAnswersTakeLittleMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Callers read nothing, and half of them leave before the deadline; the host then reads the
    // answers to non-idempotent requests on, in order to store them.
    void endlessAnswersTakeLittleMemory()
    {
        const auto script = [this](const std::string &) {
            const EndlessAnswer *it = m_answer;
            return it == nullptr ? ScriptedAnswer { SoundAnswer, false, false }
                                 : ScriptedAnswer { it->start, false, false, it->pattern };
        };
        for (std::size_t n = 0; n < 2 * Callers; ++n)
            m_host.addTarget(script);
        CPPUNIT_ASSERT(m_host.start());
        std::string failed;
        auto answers = endlessAnswers();
        // First, because the host avoids targets that have failed.
        answers.insert(answers.begin(),
                       { "refusal", "HTTP/1.1 503 Full\r\nGgv-Not-Executed: true\r\n\r\n", "x" });
        for (const auto &it : answers)
            failed += difference(it);
        CPPUNIT_ASSERT_EQUAL(std::string(), failed);
    }

private:
    static constexpr const char *SoundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    std::string difference(const EndlessAnswer &it)
    {
        const std::size_t before = heapBytes();
        const std::size_t requestsBefore = m_host.receivedRequests();
        m_answer = &it;
        std::vector<RawSocket> callers;
        for (std::size_t n = 0; n < Callers; ++n) {
            callers.push_back(m_host.sendGet());
            callers.push_back(m_host.sendPost("key-" + std::to_string(++m_keys)));
        }
        std::size_t most = watchHeap(before, milliseconds(300));
        callers.erase(callers.begin() + Callers, callers.end());
        most = watchHeap(most, milliseconds(300));
        m_answer = nullptr;
        const std::size_t requests = m_host.receivedRequests() - requestsBefore;
        if (requests > 0 && most - before < 2 * Callers * MaxHeapGrowthPerRequest)
            return {};
        return it.name + ": " + std::to_string((most - before) / 1024) + " KiB, "
            + std::to_string(requests) + " requests\n";
    }

    static std::size_t watchHeap(std::size_t most, milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            most = std::max(most, heapBytes());
            std::this_thread::sleep_for(milliseconds(1));
        }
        return most;
    }

    std::atomic<const EndlessAnswer *> m_answer = nullptr; //!< What targets send; sound if null.
    EntryHostFixture m_host;
    int m_keys = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostEndlessAnswerTest);

} // namespace
