#include <ggv/state/routing/target_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::ListedTarget;
using ggv::PooledTargetRef;
using ggv::TargetOutcome;
using ggv::TargetPool;
using ggv::TargetStateReport;
using ggv::TargetStatus;
using ggv::UnixMillis;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UnixMillis FirstStart = 1'700'000'000'000;
constexpr UnixMillis SecondStart = FirstStart + 7'000;
constexpr UnixMillis Unknown = 0;
//! Time for which a target drains before it ends.
constexpr auto DrainTime = seconds(4);

ListedTarget sampleTarget(bool leaving, UnixMillis startedAt)
{
    ListedTarget target;
    target.instance = "i-1";
    target.service = ggv::ServiceName("shop");
    target.endpoint = { "10.0.0.1", 80 };
    target.domain = ggv::FailureDomainName("a");
    target.slots = 4;
    target.leaving = leaving;
    target.startedAt = startedAt;
    return target;
}

//! Targets that leave and start again under their names and addresses.
class RestartedTargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestartedTargetTest);
    CPPUNIT_TEST(restartedTargetIsUsedAgain);
    CPPUNIT_TEST(restartWithoutAGapOfTheListIsSeen);
    CPPUNIT_TEST(lateListOfTheSameStartChangesNothing);
    CPPUNIT_TEST(targetThatIsMissingForLongIsForgotten);
    CPPUNIT_TEST(unknownStartIsNoNewStart);
    CPPUNIT_TEST(newStartKnowsNothingOfTheEarlierOne);
    CPPUNIT_TEST(newStartStaysCold);
    CPPUNIT_TEST(lateAnswerOfTheEarlierStartChangesNothing);
    CPPUNIT_TEST(reportOfTheEarlierStartChangesNothing);
    CPPUNIT_TEST(reportOfALaterStartExcludesIt);
    CPPUNIT_TEST(reportWithoutAStartExcludesAnyStart);
    CPPUNIT_TEST(contradictedDepartureIsDoubtful);
    CPPUNIT_TEST(onlyALaterHealthAnswerWithdrawsADeparture);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool = std::make_unique<TargetPool>(
            ggv::Topology { ggv::FailureDomainName("a"),
                            { { ggv::FailureDomainName("a"), ggv::RegionName("north") } } });
        ggv::RouteRules rules;
        rules.services[ggv::ServiceName("shop")].coldStart = seconds(3);
        rules.services[ggv::ServiceName("shop")].coldRequestsPerSecond = 8.0;
        m_pool->setRules(rules);
        m_pool->setObserver(
            [this](const ggv::TargetStatusChange &change) { m_changes.push_back(change.status); });
        list(false, FirstStart);
    }

    // Guards against targets that were drained, started again under their names, and got no request
    // any more: a route that was added to their service was never served.
    void restartedTargetIsUsedAgain()
    {
        for (const Duration gap : { milliseconds(300), milliseconds(1500), milliseconds(11'000) }) {
            setUp();
            leave(FirstStart);
            omit(gap);
            list(false, SecondStart);
            CPPUNIT_ASSERT(isUsed());
            leave(SecondStart);
            CPPUNIT_ASSERT(!isUsed());
        }
    }

    void restartWithoutAGapOfTheListIsSeen()
    {
        leave(FirstStart);
        list(false, SecondStart);
        CPPUNIT_ASSERT(isUsed());
        CPPUNIT_ASSERT(TargetStatus::Restarted == m_changes.back());
    }

    // Guards against a leaving target that a list shows as ready, as it was read again or came
    // late.
    void lateListOfTheSameStartChangesNothing()
    {
        leave(FirstStart);
        for (int n = 0; n < 30; ++n) {
            m_now += seconds(1);
            list(false, n % 2 == 0 ? FirstStart : Unknown);
            CPPUNIT_ASSERT(!isUsed());
        }
        list(false, SecondStart);
        CPPUNIT_ASSERT(isUsed());
        list(false, FirstStart);
        CPPUNIT_ASSERT(isUsed());
    }

    // Guards against a target that is never forgotten, as the list does not change while it is
    // away.
    void targetThatIsMissingForLongIsForgotten()
    {
        leave(Unknown);
        omit(ggv::DepartedTargets::ForgetAfter - milliseconds(1));
        list(false, Unknown);
        CPPUNIT_ASSERT(!isUsed());
        omit(ggv::DepartedTargets::ForgetAfter);
        list(false, Unknown);
        CPPUNIT_ASSERT(isUsed());
    }

    // An entry may lack the start, or come without one later.
    void unknownStartIsNoNewStart()
    {
        leave(FirstStart);
        omit(seconds(2));
        list(false, Unknown);
        CPPUNIT_ASSERT(!isUsed());

        setUp();
        m_pool->update({ 9, {} }, Duration(0), m_now);
        m_now += seconds(20);
        list(false, Unknown);
        leave(Unknown);
        omit(seconds(2));
        list(false, SecondStart);
        CPPUNIT_ASSERT(!isUsed());
    }

    void newStartKnowsNothingOfTheEarlierOne()
    {
        const PooledTargetRef earlier = target();
        const auto choice = choose();
        m_pool->observeLoad(*earlier, { 4, 9, 4 }, m_now);
        m_pool->observeRetryAfter(*earlier, seconds(60), m_now);
        m_pool->observeRateLimit(*earlier, 0.5, m_now, m_now);
        for (int n = 0; n < 5; ++n)
            m_pool->finish(choice, TargetOutcome::Reset, m_now, m_now);
        list(false, SecondStart);
        CPPUNIT_ASSERT(target() != earlier);
        CPPUNIT_ASSERT_EQUAL(0.0, target()->load(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool->rateLimitedTargets(m_now));
        CPPUNIT_ASSERT(isUsed());
        // What other hosts were told before the start is of the earlier one.
        m_now += seconds(1);
        m_pool->applyStateReports({ { "i-1", 30, false, seconds(1) + milliseconds(1) } }, m_now);
        m_pool->applyRateLimitReports({ { "i-1", 0.5, seconds(1) + milliseconds(1) } }, m_now);
        CPPUNIT_ASSERT_EQUAL(0.0, target()->load(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_pool->rateLimitedTargets(m_now));
    }

    // Guards against a full rate to a target that just started: a refused connection told of the
    // restart before the list did.
    void newStartStaysCold()
    {
        m_pool->observeRestart(*target(), m_now);
        m_now += milliseconds(200);
        list(false, SecondStart);
        CPPUNIT_ASSERT(requestsAtOnce() < 20);

        setUp();
        auto listing = sampleTarget(false, SecondStart);
        listing.coldDuration = seconds(3);
        m_pool->update({ ++m_digest, { listing } }, Duration(0), m_now);
        CPPUNIT_ASSERT(requestsAtOnce() < 20);
    }

    void lateAnswerOfTheEarlierStartChangesNothing()
    {
        const PooledTargetRef earlier = target();
        leave(FirstStart);
        list(false, SecondStart);
        m_pool->observeLeaving(*earlier, m_now);
        CPPUNIT_ASSERT(isUsed());
        list(false, SecondStart);
        CPPUNIT_ASSERT(isUsed());
        CPPUNIT_ASSERT(m_pool->takeStateReports(m_now).empty());
    }

    void reportOfTheEarlierStartChangesNothing()
    {
        list(false, SecondStart);
        m_pool->applyStateReports({ departureOf(FirstStart) }, m_now);
        CPPUNIT_ASSERT(isUsed());
        m_pool->applyStateReports({ departureOf(SecondStart) }, m_now);
        CPPUNIT_ASSERT(!isUsed());
        list(false, SecondStart + 1);
        CPPUNIT_ASSERT(isUsed());
    }

    // Another host may know of a start, and of its end, before this one.
    void reportOfALaterStartExcludesIt()
    {
        m_pool->applyStateReports({ departureOf(SecondStart) }, m_now);
        CPPUNIT_ASSERT(!isUsed());
        list(false, SecondStart);
        CPPUNIT_ASSERT(!isUsed());
    }

    void reportWithoutAStartExcludesAnyStart()
    {
        m_pool->applyStateReports({ departureOf(Unknown) }, m_now);
        CPPUNIT_ASSERT(!isUsed());
        list(false, SecondStart);
        CPPUNIT_ASSERT(isUsed());
    }

    void contradictedDepartureIsDoubtful()
    {
        leave(Unknown);
        CPPUNIT_ASSERT(m_pool->doubtfulDepartures(m_now + seconds(60)).empty());
        list(false, Unknown);
        const Instant readyAt = m_now;
        const Instant last = readyAt + TargetPool::DoubtTime - milliseconds(1);
        CPPUNIT_ASSERT(m_pool->doubtfulDepartures(last).empty());
        // Each statement that it leaves counts anew.
        m_pool->applyStateReports({ departureOf(Unknown) }, last);
        CPPUNIT_ASSERT(m_pool->doubtfulDepartures(last + milliseconds(1)).empty());
        CPPUNIT_ASSERT(m_pool->doubtfulDepartures(last + TargetPool::DoubtTime)
                       == std::vector { target() });
        omit(Duration(0));
        CPPUNIT_ASSERT(m_pool->doubtfulDepartures(m_now + seconds(60)).empty());
    }

    void onlyALaterHealthAnswerWithdrawsADeparture()
    {
        leave(Unknown);
        list(false, Unknown);
        const PooledTargetRef earlier = target();
        m_pool->observeNotLeaving(*earlier, m_now, Duration(0), m_now + seconds(1));
        CPPUNIT_ASSERT(!isUsed());
        const Instant sentAt = m_now + milliseconds(1);
        m_now += seconds(1);
        m_pool->observeNotLeaving(*earlier, sentAt, seconds(2), m_now);
        CPPUNIT_ASSERT(isUsed());
        CPPUNIT_ASSERT(requestsAtOnce() < 20); // It said that it is cold.
        // Nor do late answers, or later lists of the same content.
        m_pool->observeLeaving(*earlier, m_now);
        m_pool->observeNotLeaving(*earlier, m_now, Duration(0), m_now);
        list(false, Unknown);
        CPPUNIT_ASSERT(isUsed());
        m_pool->observeLeaving(*target(), m_now);
        CPPUNIT_ASSERT(!isUsed());
        list(true, Unknown);
        m_pool->observeNotLeaving(*target(), m_now + seconds(1), Duration(0), m_now + seconds(1));
        CPPUNIT_ASSERT(!isUsed()); // The list says that it leaves.
    }

private:
    void list(bool leaving, UnixMillis startedAt)
    {
        m_pool->update({ ++m_digest, { sampleTarget(leaving, startedAt) } }, Duration(0), m_now);
    }

    void leave(UnixMillis startedAt)
    {
        list(true, startedAt);
        m_now += DrainTime;
    }

    void omit(Duration time)
    {
        m_pool->update({ ++m_digest, {} }, Duration(0), m_now);
        m_now += time;
    }

    PooledTargetRef target() const { return m_pool->targets().front(); }

    bool isUsed() const { return m_pool->mayReceive(*target(), m_now); }

    ggv::TargetChoice choose()
    {
        ggv::TargetQuery query;
        query.route = &m_route;
        query.service = ggv::ServiceName("shop");
        return m_pool->choose(query, seconds(2), m_now, m_random);
    }

    //! Returns how many requests are sent to the target at this moment, up to 100.
    int requestsAtOnce()
    {
        int sent = 0;
        while (sent < 100) {
            const auto choice = choose();
            if (!choice.target)
                break;
            m_pool->finish(choice, std::nullopt, m_now, m_now);
            ++sent;
        }
        return sent;
    }

    static TargetStateReport departureOf(UnixMillis startedAt)
    {
        return { "i-1", 0, true, Duration(0), startedAt };
    }

    std::unique_ptr<TargetPool> m_pool;
    std::vector<TargetStatus> m_changes;
    ggv::Route m_route;
    ggv::RandomSource m_random { 1 };
    std::uint64_t m_digest = 0;
    Instant m_now { seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedTargetTest);

} // namespace
