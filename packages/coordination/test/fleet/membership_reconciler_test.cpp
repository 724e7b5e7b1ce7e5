#include <ggv/coordination/fleet/membership_reconciler.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::MembershipReconciler;
using ggv::MembershipStep;
using ggv::MembershipStepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TickInterval { 100 };
constexpr ggv::MemberId Leader = 1;
constexpr ggv::MemberId Lost = 2;
constexpr std::uint32_t ToleratedFailures = 1;

class MembershipReconcilerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipReconcilerTest);
    CPPUNIT_TEST(stepsKeepTheirInterval);
    CPPUNIT_TEST(newLeaderSettlesFirst);
    CPPUNIT_TEST(pausedLeaderSettlesAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void stepsKeepTheirInterval()
    {
        leadFor(seconds(5));
        const Instant first = m_now;
        CPPUNIT_ASSERT(nextStep());
        while (!nextStep())
            leadFor(TickInterval);
        CPPUNIT_ASSERT(m_now - first >= MembershipReconciler::StepInterval);
        CPPUNIT_ASSERT(m_now - first < MembershipReconciler::StepInterval + 2 * TickInterval);
    }

    void newLeaderSettlesFirst()
    {
        leadFor(seconds(5));
        m_reconciler.observeLeader(Lost, Instant::min(), m_now);
        m_reconciler.observeLeader(Leader, Instant::min(), m_now);
        CPPUNIT_ASSERT(!nextStep());
        leadFor(seconds(5));
        const auto step = nextStep();
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove && step->member == Lost);
    }

    // Guards against the removal of members whose reports waited while this process was paused.
    void pausedLeaderSettlesAgain()
    {
        leadFor(seconds(5));
        m_reconciler.observeLeader(Leader, m_now, m_now);
        CPPUNIT_ASSERT(!nextStep());
        leadFor(seconds(5));
        CPPUNIT_ASSERT(nextStep());
    }

private:
    void leadFor(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end; m_now += TickInterval)
            m_reconciler.observeLeader(Leader, Instant::min(), m_now);
    }

    // Four voters, of which one was never heard.
    std::optional<MembershipStep> nextStep()
    {
        ggv::RaftStatus status;
        status.voters = { Leader, Lost, 3, 4 };
        status.inContact = { Leader, 3, 4 };
        return m_reconciler.nextStep(std::move(status), {}, {}, m_now);
    }

    Instant m_now { seconds(1000) };
    MembershipReconciler m_reconciler { ToleratedFailures };
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipReconcilerTest);

} // namespace
