#include <ggv/coordination/fleet/state_freshness.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::hasCurrentState;
using ggv::Instant;
using ggv::MaxStateLag;
using ggv::RaftRole;
using ggv::RaftStatus;

const Instant Now { std::chrono::seconds(100) };

class StateFreshnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateFreshnessTest);
    CPPUNIT_TEST(followerThatNeverCaughtUpIsNotCurrent);
    CPPUNIT_TEST(followerIsCurrentForALimitedTime);
    CPPUNIT_TEST(leaderNeedsItsLease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entry hosts that start with the old state of a control host which was just
    // started, too.
    void followerThatNeverCaughtUpIsNotCurrent()
    {
        RaftStatus status;
        status.leader = 2;
        CPPUNIT_ASSERT(!hasCurrentState(status, false, Now));
        CPPUNIT_ASSERT(!hasCurrentState(status, false, Instant(ggv::Duration(1))));
    }

    void followerIsCurrentForALimitedTime()
    {
        RaftStatus status;
        status.leader = 2;
        status.caughtUpAt = Now - MaxStateLag;
        CPPUNIT_ASSERT(hasCurrentState(status, false, Now));
        CPPUNIT_ASSERT(!hasCurrentState(status, false, Now + ggv::Duration(1)));
        status.leader = 0;
        CPPUNIT_ASSERT(!hasCurrentState(status, false, Now));
    }

    void leaderNeedsItsLease()
    {
        RaftStatus status;
        status.role = RaftRole::Leader;
        status.leader = 1;
        status.caughtUpAt = Now;
        CPPUNIT_ASSERT(!hasCurrentState(status, false, Now));
        CPPUNIT_ASSERT(hasCurrentState(status, true, Now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateFreshnessTest);

} // namespace
