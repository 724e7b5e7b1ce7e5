#include <gateway/gateway_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace ggv::test;
using ggv::RequestKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! A first target, a second one that works, and what the caller must get.
struct FailureCase
{
    const char *name;
    ScriptedTarget::Script first;
    RequestKind kind;
    const char *status;
    std::size_t runs; //!< Requests that reached a target.
};

const FailureCase FailureCases[] = {
    { "failure, idempotent", failing, RequestKind::Idempotent, "200", 2 },
    { "failure, once", failing, RequestKind::NonIdempotent, "500", 1 },
    { "lost, idempotent", lost, RequestKind::Idempotent, "200", 2 },
    { "lost, once", lost, RequestKind::NonIdempotent, "502", 1 },
    { "cut, idempotent", cut, RequestKind::Idempotent, "200", 2 },
    { "cut, once", cut, RequestKind::NonIdempotent, "502", 1 },
    { "refused, idempotent", refused, RequestKind::Idempotent, "200", 2 },
    { "refused, once", refused, RequestKind::NonIdempotent, "200", 2 },
    { "moved, idempotent", moved, RequestKind::Idempotent, "200", 2 },
    { "moved, once", moved, RequestKind::NonIdempotent, "200", 2 },
    { "foreign, idempotent", foreign, RequestKind::Idempotent, "200", 2 },
    { "foreign, once", foreign, RequestKind::NonIdempotent, "502", 1 },
    { "unsealed, idempotent", unsealed, RequestKind::Idempotent, "200", 2 },
    { "unsealed, once", unsealed, RequestKind::NonIdempotent, "502", 1 },
    { "busy but ran, once", busyButRan, RequestKind::NonIdempotent, "502", 1 },
    { "until close, once", untilClose, RequestKind::NonIdempotent, "200", 1 },
};

class GatewayRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayRequestTest);
    CPPUNIT_TEST(eachFailureHasItsAnswer);
    CPPUNIT_TEST(theSecondAnswerIsWhole);
    CPPUNIT_TEST(refusedEverywhereIsNotRun);
    CPPUNIT_TEST(anUnreachableTargetIsReplacedEvenForRequestsThatRunOnce);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(aSilentTargetEndsWithTheDeadline);
    CPPUNIT_TEST(theTargetGetsTheTimeThatIsLeft);
    CPPUNIT_TEST(aCallerThatLeavesEndsTheWork);
    CPPUNIT_TEST(unknownPathsAndMissingRules);
    CPPUNIT_TEST(aRequestWaitsForTheFirstRules);
    CPPUNIT_TEST(aHostThatEndsTakesOnlyWhatItCanFinish);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachFailureHasItsAnswer()
    {
        for (const auto &it : FailureCases) {
            GatewayFixture world;
            world.addTarget(it.first);
            world.addTarget(good);
            world.start(it.kind, 2);
            const auto text = world.call();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.status), text.substr(9, 3));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.runs, world.runs());
        }
    }

    void theSecondAnswerIsWhole()
    {
        GatewayFixture world;
        world.addTarget(cut);
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2);
        const auto text = world.call();
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
        CPPUNIT_ASSERT(text.find("half") == std::string::npos);
        CPPUNIT_ASSERT(text.find(Seal) != std::string::npos);
    }

    void refusedEverywhereIsNotRun()
    {
        GatewayFixture world;
        world.addTarget(refused);
        world.addTarget(refused);
        world.start(RequestKind::NonIdempotent, 2);
        const auto text = world.call();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
        CPPUNIT_ASSERT(text.find("Retry-After: 0.") != std::string::npos);
    }

    void anUnreachableTargetIsReplacedEvenForRequestsThatRunOnce()
    {
        GatewayFixture world;
        world.addClosedTarget();
        world.addTarget(good);
        world.start(RequestKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), world.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void attemptsAreBounded()
    {
        GatewayFixture world;
        for (int n = 0; n < 4; ++n)
            world.addTarget(failing);
        world.start(RequestKind::Idempotent, 3);
        const auto text = world.call();
        CPPUNIT_ASSERT_EQUAL(std::string("500"), text.substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, world.runs());
    }

    void aSilentTargetEndsWithTheDeadline()
    {
        GatewayFixture world;
        world.addTarget(silent);
        world.start(RequestKind::NonIdempotent, 2);
        const auto startedAt = std::chrono::steady_clock::now();
        const auto text = world.call("300");
        CPPUNIT_ASSERT_EQUAL(std::string("504"), text.substr(9, 3));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < seconds(2));
    }

    void theTargetGetsTheTimeThatIsLeft()
    {
        GatewayFixture world;
        world.addTarget(good);
        world.start(RequestKind::NonIdempotent, 2);
        (void)world.call("700");
        const auto request = world.target(0).requests().front();
        const std::string name = "Time-Left: ";
        const auto at = request.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(request.find(name, at + 1) == std::string::npos);
        const int left = std::stoi(request.substr(at + name.size()));
        CPPUNIT_ASSERT(left > 0 && left <= 700);
        CPPUNIT_ASSERT(request.find("Instance: t0\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("Id: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.ends_with("body"));
    }

    void aCallerThatLeavesEndsTheWork()
    {
        GatewayFixture world;
        world.addTarget(silent);
        world.start(RequestKind::Idempotent, 2);
        auto caller = world.send("2900");
        waitUntil([&] { return world.runs() == 1; });
        caller.close();
        waitUntil([&] { return world.target(0).peerClosed(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void unknownPathsAndMissingRules()
    {
        GatewayFixture world;
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("404"), world.call("500", "/b/1").substr(9, 3));
        GatewayFixture empty;
        empty.addTarget(good);
        empty.start(RequestKind::Idempotent, 2, false);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), empty.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, empty.runs());
    }

    void aRequestWaitsForTheFirstRules()
    {
        GatewayFixture world;
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2, false);
        auto caller = world.send("2900");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(!caller.hasData());
        world.setRules(RequestKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), caller.readToEnd().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void aHostThatEndsTakesOnlyWhatItCanFinish()
    {
        GatewayFixture world;
        world.addTarget(good);
        world.endAfter(milliseconds(1500));
        world.start(RequestKind::NonIdempotent, 2);
        const auto refusal = world.call("2500");
        CPPUNIT_ASSERT_EQUAL(std::string("503"), refusal.substr(9, 3));
        CPPUNIT_ASSERT(refusal.find("Retry-After: 0.0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.runs());
        CPPUNIT_ASSERT_EQUAL(std::string("200"), world.call("500").substr(9, 3));
    }

private:
    template <typename Condition>
    static void waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(ggv::test::WaitSeconds);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(condition());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRequestTest);

} // namespace
