#include <ggv/coordination/fleet/pause_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::PauseDetector;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PauseDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PauseDetectorTest);
    CPPUNIT_TEST(messageOfARunningProcessIsNew);
    CPPUNIT_TEST(messageReadAfterAPauseMayBeAsOldAsThePause);
    CPPUNIT_TEST(secondPauseExtendsTheFirst);
    CPPUNIT_TEST(messageReadBeforeThePauseKeepsItsTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void messageOfARunningProcessIsNew()
    {
        runFor(seconds(2));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == m_now);
        m_now += PauseDetector::MaxInterval;
        m_pauses.observe(m_now);
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == m_now);
    }

    // Guards against a process that dates what it reads after a pause by the time of reading.
    void messageReadAfterAPauseMayBeAsOldAsThePause()
    {
        runFor(seconds(2));
        const Instant pausedAt = m_now;
        pauseFor(seconds(4));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == pausedAt);
        runFor(PauseDetector::DrainTime - milliseconds(1));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == pausedAt);
        runFor(milliseconds(1));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == m_now);
    }

    void secondPauseExtendsTheFirst()
    {
        runFor(seconds(2));
        const Instant pausedAt = m_now;
        pauseFor(seconds(1));
        runFor(milliseconds(100));
        pauseFor(seconds(1));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == pausedAt);
        runFor(PauseDetector::DrainTime);
        const Instant next = m_now;
        pauseFor(seconds(1));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(m_now) == next);
    }

    void messageReadBeforeThePauseKeepsItsTime()
    {
        CPPUNIT_ASSERT(m_pauses.notSentBefore(Instant::min()) == Instant::min());
        CPPUNIT_ASSERT(m_pauses.runningSince() == Instant::min());
        runFor(seconds(2));
        const Instant readAt = m_now - milliseconds(100);
        pauseFor(seconds(4));
        CPPUNIT_ASSERT(m_pauses.notSentBefore(readAt) == readAt);
        CPPUNIT_ASSERT(m_pauses.notSentBefore(Instant::min()) == Instant::min());
        CPPUNIT_ASSERT(m_pauses.runningSince() == m_now);
    }

private:
    void runFor(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end;) {
            m_now += milliseconds(1);
            m_pauses.observe(m_now);
        }
    }

    void pauseFor(Duration duration)
    {
        m_now += duration;
        m_pauses.observe(m_now);
    }

    Instant m_now { seconds(1000) };
    PauseDetector m_pauses { m_now };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PauseDetectorTest);

} // namespace
