#include <ggv/state/routing/target_backoff.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::TargetBackoff;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetBackoffTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetBackoffTest);
    CPPUNIT_TEST(endsAfterTheStatedTime);
    CPPUNIT_TEST(shorterStatementDoesNotEndItEarlier);
    CPPUNIT_TEST(longStatementsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void endsAfterTheStatedTime()
    {
        TargetBackoff backoff;
        CPPUNIT_ASSERT(!backoff.isActive(m_now));
        backoff.observe(seconds(2), m_now);
        CPPUNIT_ASSERT(backoff.isActive(m_now + milliseconds(1999)));
        CPPUNIT_ASSERT(!backoff.isActive(m_now + seconds(2)));
    }

    void shorterStatementDoesNotEndItEarlier()
    {
        TargetBackoff backoff;
        backoff.observe(seconds(5), m_now);
        backoff.observe(Duration(0), m_now + seconds(1));
        CPPUNIT_ASSERT(backoff.endsAt() == m_now + seconds(5));
    }

    void longStatementsAreBounded()
    {
        TargetBackoff backoff;
        backoff.observe(hours(24), m_now);
        CPPUNIT_ASSERT(backoff.endsAt() == m_now + TargetBackoff::MaxTime);
        TargetBackoff negative;
        negative.observe(seconds(-3), m_now);
        CPPUNIT_ASSERT(!negative.isActive(m_now));
    }

private:
    Instant m_now { seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetBackoffTest);

} // namespace
