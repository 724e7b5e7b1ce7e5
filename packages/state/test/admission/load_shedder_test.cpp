#include <ggv/state/admission/load_shedder.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;

AdmissionLoad randomLoad()
{
    AdmissionLoad load;
    load.queued = *rc::gen::inRange<std::uint32_t>(0, 100);
    load.slots = *rc::gen::inRange<std::uint32_t>(0, 50);
    load.hasFreeSlot = load.slots > 0 && *rc::gen::arbitrary<bool>();
    load.serviceTime = Duration(*rc::gen::inRange(0, 200'000));
    return load;
}

class LoadShedderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadShedderTest);
    CPPUNIT_TEST(neverQueuesARequestPastItsDeadline);
    CPPUNIT_TEST(admitsImmediatelyWithAFreeSlot);
    CPPUNIT_TEST(shedsWithoutSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    void neverQueuesARequestPastItsDeadline()
    {
        CPPUNIT_ASSERT(rc::check("queue time-out and service time fit within the deadline", [] {
            const ShedPolicy policy;
            const auto load = randomLoad();
            const Duration timeLeft(*rc::gen::inRange(-1'000, 1'000'000));
            const auto decision = decideAdmission(load, timeLeft, policy);
            if (decision.action == AdmissionAction::Shed) {
                RC_ASSERT(decision.retryAfter >= policy.minimumRetryAfter);
                RC_ASSERT(decision.retryAfter <= policy.maximumRetryAfter);
                return;
            }
            RC_ASSERT(decision.queueTimeout + load.serviceTime < timeLeft);
            RC_ASSERT(decision.queueTimeout <= policy.maximumWait);
            RC_ASSERT(decision.queueTimeout <= load.serviceTime * policy.waitFactor);
            RC_ASSERT(decision.action == AdmissionAction::Admit
                      || expectedWait(load) <= decision.queueTimeout);
        }));
    }

    void admitsImmediatelyWithAFreeSlot()
    {
        const AdmissionLoad load { 0, 4, true, Duration(20'000) };
        const auto decision = decideAdmission(load, Duration(1'000'000));
        CPPUNIT_ASSERT(decision.action == AdmissionAction::Admit);
    }

    void shedsWithoutSlots()
    {
        const AdmissionLoad load { 0, 0, false, Duration(20'000) };
        const auto decision = decideAdmission(load, Duration(1'000'000));
        CPPUNIT_ASSERT(decision.action == AdmissionAction::Shed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadShedderTest);

} // namespace
