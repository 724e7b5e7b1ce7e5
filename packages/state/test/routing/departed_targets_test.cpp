#include <ggv/state/routing/departed_targets.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::DepartedTargets;
using ggv::Instant;
using ggv::ListedTarget;
using std::chrono::milliseconds;
using std::chrono::seconds;

ListedTarget sampleTarget(bool leaving)
{
    ListedTarget target;
    target.instance = "i-1";
    target.endpoint = { "10.0.0.1", 80 };
    target.leaving = leaving;
    return target;
}

class DepartedTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DepartedTargetsTest);
    CPPUNIT_TEST(isKeptWhileTheListOmitsTheTarget);
    CPPUNIT_TEST(isForgottenAfterTheTargetIsGone);
    CPPUNIT_TEST(anotherAddressIsAnotherTarget);
    CPPUNIT_TEST(listedDepartureIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    void isKeptWhileTheListOmitsTheTarget()
    {
        m_departed.record(sampleTarget(false), m_now);
        m_now += seconds(3);
        m_departed.update({}, m_now);
        m_departed.update({ 1, { sampleTarget(false) } }, m_now);
        CPPUNIT_ASSERT(m_departed.contains(sampleTarget(false)));
        // Each listing extends the record.
        m_now += DepartedTargets::ForgetAfter - milliseconds(1);
        m_departed.update({}, m_now);
        CPPUNIT_ASSERT(m_departed.contains(sampleTarget(false)));
    }

    void isForgottenAfterTheTargetIsGone()
    {
        m_departed.record(sampleTarget(false), m_now);
        m_now += DepartedTargets::ForgetAfter;
        m_departed.update({}, m_now);
        CPPUNIT_ASSERT(!m_departed.contains(sampleTarget(false)));
    }

    void anotherAddressIsAnotherTarget()
    {
        m_departed.record(sampleTarget(false), m_now);
        auto moved = sampleTarget(false);
        moved.endpoint.port = 81;
        CPPUNIT_ASSERT(!m_departed.contains(moved));
    }

    void listedDepartureIsRecorded()
    {
        m_departed.update({ 1, { sampleTarget(true) } }, m_now);
        m_departed.update({ 2, { sampleTarget(false) } }, m_now + seconds(1));
        CPPUNIT_ASSERT(m_departed.contains(sampleTarget(false)));
    }

private:
    DepartedTargets m_departed;
    Instant m_now { seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartedTargetsTest);

} // namespace
