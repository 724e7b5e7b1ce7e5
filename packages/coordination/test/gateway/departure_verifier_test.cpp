#include <ggv/coordination/gateway/departure_verifier.hpp>

#include <gateway/gateway_fixture.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>

namespace {

using namespace ggv;
using namespace ggv::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string HealthRequest = "GET /health ";
//! Time in which a target is asked that the list has shown as ready: the first question and two
//! more.
constexpr auto MaxVerificationTime = TargetPool::DoubtTime + DepartureVerifier::MaxFirstDelay
    + 2 * DepartureVerifier::RetryInterval + seconds(1);

//! Target that has said that it leaves, and gives the answer to questions for its health.
ScriptedTarget::Script leavingTarget(const std::string &healthAnswer)
{
    return [healthAnswer](const std::string &request) {
        if (request.starts_with(HealthRequest))
            return ScriptedAnswer { healthAnswer, false, false };
        return leavingSuccess(request);
    };
}

//! Gateway with one target that leaves, and one that works.
class VerifierFixture : public GatewayFixture
{
public:
    explicit VerifierFixture(ScriptedTarget::Script first)
    {
        addTarget(std::move(first));
        addTarget(success);
        ServicePolicy policy;
        policy.healthPath = "/health";
        setServicePolicy(policy);
        start(RouteKind::NonIdempotent, 2);
        runOnLoop([this] { m_verifier = DepartureVerifier::start(loop(), context()); });
    }

    ~VerifierFixture()
    {
        runOnLoop([this] { m_verifier->stop(); });
    }

    VerifierFixture(const VerifierFixture &) = delete;
    VerifierFixture &operator=(const VerifierFixture &) = delete;

    //! Returns the number of requests that the first target received, of one kind.
    std::size_t received(bool isHealth) const
    {
        std::size_t count = 0;
        for (const auto &it : target(0).requests())
            count += it.starts_with(HealthRequest) == isHealth ? 1 : 0;
        return count;
    }

    //! @return True if each question to the first target named it.
    bool isAskedByName() const
    {
        const auto requests = target(0).requests();
        return std::all_of(requests.begin(), requests.end(), [](const std::string &it) {
            return !it.starts_with(HealthRequest) || it.find("Instance: t0\r\n") != it.npos;
        });
    }

    //! Sends requests until the first target has received more of them, or for a time.
    bool isUsedWithin(Duration time)
    {
        const std::size_t before = received(false);
        const Instant end = monotonicNow() + time;
        while (received(false) == before && monotonicNow() < end) {
            CPPUNIT_ASSERT_EQUAL(std::string("200"), call().substr(9, 3));
            std::this_thread::sleep_for(milliseconds(50));
        }
        return received(false) > before;
    }

private:
    std::shared_ptr<DepartureVerifier> m_verifier;
};

class DepartureVerifierTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DepartureVerifierTest);
    CPPUNIT_TEST(targetThatWorksAgainIsUsedAgain);
    CPPUNIT_TEST(targetThatDoesNotSayThatItWorksStaysExcluded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a target that started again under its name, without a start in the list, and
    // never gets a request again.
    void targetThatWorksAgainIsUsedAgain()
    {
        VerifierFixture fixture(leavingTarget(answer("200", "Answered-By: t0\r\n", "")));
        CPPUNIT_ASSERT(fixture.isUsedWithin(seconds(1)));
        const Instant leftAt = monotonicNow();
        CPPUNIT_ASSERT(!fixture.isUsedWithin(TargetPool::DoubtTime - milliseconds(200)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fixture.received(true));
        CPPUNIT_ASSERT(fixture.isUsedWithin(MaxVerificationTime));
        CPPUNIT_ASSERT(monotonicNow() - leftAt >= TargetPool::DoubtTime);
        CPPUNIT_ASSERT(fixture.isAskedByName());
        // It says again that it leaves, and is asked again only after the same time.
        CPPUNIT_ASSERT(!fixture.isUsedWithin(seconds(1)));
    }

    // Guards against requests to a target that is leaving: an unhealthy answer, two kinds of
    // answers of another target at the address, and one that is cut.
    void targetThatDoesNotSayThatItWorksStaysExcluded()
    {
        for (const std::string &it :
             { answer("503", "Answered-By: t0\r\n", ""), answer("200", "Answered-By: t7\r\n", ""),
               answer("421", "", ""), std::string("HTTP/1.1 200") }) {
            VerifierFixture fixture(leavingTarget(it));
            CPPUNIT_ASSERT(fixture.isUsedWithin(seconds(1)));
            CPPUNIT_ASSERT(!fixture.isUsedWithin(MaxVerificationTime));
            CPPUNIT_ASSERT(fixture.received(true) >= 2);
            // Few questions: they take slots of the target.
            CPPUNIT_ASSERT(fixture.received(true) <= 4);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureVerifierTest);

} // namespace
