#include <ggv/coordination/claims/claim_client.hpp>
#include <ggv/coordination/claims/claim_state_machine.hpp>
#include <ggv/protocol/codec/claim_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <variant>
#include <vector>

namespace {

using namespace ggv;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start { seconds(100) };
constexpr Instant Deadline = Start + seconds(1);
constexpr KeyDigest Key { 1, 2 };

// Probes are so rare that only their own test sees them.
ClaimClientOptions quietOptions()
{
    ClaimClientOptions options;
    options.probeInterval = std::chrono::minutes(10);
    return options;
}

// Answers to the calls of a client, made by hand.
struct Bench
{
    ClaimClient client;
    ClaimClientOutput output;

    explicit Bench(const ClaimClientOptions &options = quietOptions())
        : client(77, { 1, 2, 3 }, options)
    {
        client.tick(Start); // Sends the first probe.
        answer(take().front().call.id, ClaimSettlement { true }, 10);
        (void)take();
    }

    std::vector<OutgoingClaimCall> take()
    {
        output = client.takeOutput();
        return output.outgoingCalls;
    }

    ClaimCall claim()
    {
        CPPUNIT_ASSERT(client.claim({ Key, {}, 1, 0, client.seenPosition() }, Deadline, Start));
        const auto outgoingCalls = take();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
        return outgoingCalls.front().call;
    }

    template <typename Content>
    void answer(const ClaimCallId &id, Content content, std::uint64_t position, Instant now = Start)
    {
        client.receive({ id, ResultCode::Ok, 0, { position, content } }, now);
    }
};

ClaimOutcome granted() { return { ClaimDecision::Granted, {} }; }

class ClaimClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimClientTest);
    CPPUNIT_TEST(tellsTheOutcomeOnce);
    CPPUNIT_TEST(repeatsTheSameClaimElsewhere);
    CPPUNIT_TEST(followsTheNamedLeader);
    CPPUNIT_TEST(lateGrantIsNeverTold);
    CPPUNIT_TEST(abandonedClaimIsReleasedUntilAnswered);
    CPPUNIT_TEST(answersOfAnotherProcessAreDropped);
    CPPUNIT_TEST(boundsAreKept);
    CPPUNIT_TEST(learnsThePosition);
    CPPUNIT_TEST(machineAppliesAndRestores);
    CPPUNIT_TEST(machineSkipsBadCommands);
    CPPUNIT_TEST_SUITE_END();

public:
    void tellsTheOutcomeOnce()
    {
        Bench bench;
        const auto call = bench.claim();
        CPPUNIT_ASSERT(
            (std::get<ClaimRequest>(call.command).claim == ClaimId { 77, call.id.sequence }));
        for (int it = 0; it < 2; ++it)
            bench.answer(call.id, granted(), 11);
        (void)bench.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, bench.output.notifications.size());
        CPPUNIT_ASSERT(bench.output.notifications.front().outcome == granted());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.client.pendingCalls());
    }

    void repeatsTheSameClaimElsewhere()
    {
        Bench bench;
        const auto call = bench.claim();
        bench.client.tick(Start + milliseconds(499));
        CPPUNIT_ASSERT(bench.take().empty());
        bench.client.tick(Start + milliseconds(500));
        const auto again = bench.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, again.size());
        CPPUNIT_ASSERT(again.front().call == call);
        CPPUNIT_ASSERT(again.front().to != 1);
    }

    void followsTheNamedLeader()
    {
        for (const auto code : { ResultCode::NotLeader, ResultCode::ChangeOutcomeUnknown }) {
            Bench bench;
            const auto call = bench.claim();
            bench.client.receive({ call.id, code, 3, {} }, Start);
            bench.client.tick(Start + milliseconds(50));
            const auto again = bench.take();
            CPPUNIT_ASSERT(again.size() == 1 && again.front().call == call);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, again.front().to);
        }
    }

    void lateGrantIsNeverTold()
    {
        for (const bool timerFirst : { true, false }) {
            Bench bench;
            const auto call = bench.claim();
            if (timerFirst)
                bench.client.tick(Deadline);
            bench.answer(call.id, granted(), 11, Deadline); // A suspended process sees it first.
            const auto outgoingCalls = bench.take();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, bench.output.notifications.size());
            CPPUNIT_ASSERT(!bench.output.notifications.front().outcome);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            const ClaimRelease release { Key, { 77, call.id.sequence } };
            CPPUNIT_ASSERT(std::get<ClaimRelease>(outgoingCalls.front().call.command) == release);
        }
    }

    void abandonedClaimIsReleasedUntilAnswered()
    {
        Bench bench;
        const auto call = bench.claim();
        bench.client.abandon({ 77, call.id.sequence }, Start);
        bench.answer(call.id, granted(), 11);
        auto outgoingCalls = bench.take();
        CPPUNIT_ASSERT(bench.output.notifications.empty());
        auto now = Start;
        for (int it = 0; it < 5; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            CPPUNIT_ASSERT(
                std::holds_alternative<ClaimRelease>(outgoingCalls.front().call.command));
            now += milliseconds(500);
            bench.client.tick(now);
            outgoingCalls = bench.take();
        }
        bench.answer(outgoingCalls.front().call.id, ClaimSettlement { true }, 12, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.client.pendingCalls());
    }

    void answersOfAnotherProcessAreDropped()
    {
        Bench bench;
        const auto call = bench.claim();
        bench.answer({ 76, call.id.sequence }, granted(), 11);
        bench.answer(call.id, ClaimSettlement { true }, 11); // Not an answer to a claim.
        (void)bench.take();
        CPPUNIT_ASSERT(bench.output.notifications.empty());
    }

    void boundsAreKept()
    {
        auto options = quietOptions();
        options.maxPendingClaims = 1;
        options.maxPendingSettlements = 1;
        options.settlementTimeout = seconds(10);
        Bench bench(options);
        (void)bench.claim();
        CPPUNIT_ASSERT(!bench.client.claim({ Key, {}, 1, 0, 0 }, Deadline, Start));
        bench.client.release({ Key, { 77, 1 } }, Start);
        bench.client.release({ Key, { 77, 2 } }, Start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, bench.client.pendingCalls());
        bench.client.tick(Start + seconds(11));
        bench.client.tick(Start + seconds(22));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.client.pendingCalls());
    }

    void learnsThePosition()
    {
        Bench bench;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, bench.client.seenPosition());
        const auto call = bench.claim();
        bench.answer(call.id, granted(), 9); // An answer that was overtaken.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, bench.client.seenPosition());
        CPPUNIT_ASSERT(bench.client.nextDeadline() == Start + std::chrono::minutes(10));
        for (int it = 1; it <= 3; ++it) {
            bench.client.tick(Start + it * std::chrono::minutes(10));
            const auto outgoingCalls = bench.take();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            CPPUNIT_ASSERT(std::holds_alternative<ClaimProbe>(outgoingCalls.front().call.command));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, bench.client.pendingCalls());
        }
    }

    void machineAppliesAndRestores()
    {
        ClaimStateMachine machine;
        const ClaimRequest request { Key, { 77, 1 }, 1, 0, 0 };
        const auto apply = [](ClaimStateMachine &on, const ClaimCommand &command) {
            return decodeClaimReply(on.apply(1, ClaimStateMachine::proposalOf(command, 1000)));
        };
        CPPUNIT_ASSERT((apply(machine, request) == ClaimReply { 1, granted() }));
        ClaimStateMachine other;
        other.restore(machine.encode());
        const ClaimCompletion completion { Key, { 77, 1 }, { 200, {}, { 1, 2 }, true } };
        for (auto *const it : { &machine, &other }) {
            CPPUNIT_ASSERT((apply(*it, completion) == ClaimReply { 2, ClaimSettlement { true } }));
            const ClaimOutcome finished { ClaimDecision::Finished, completion.answer };
            CPPUNIT_ASSERT((apply(*it, request) == ClaimReply { 3, finished }));
            CPPUNIT_ASSERT((apply(*it, ClaimProbe {}).position == 4));
            CPPUNIT_ASSERT((it->probeReply() == ClaimReply { 4, ClaimSettlement { true } }));
        }
        CPPUNIT_ASSERT(machine.encode() == other.encode());
    }

    void machineSkipsBadCommands()
    {
        ClaimStateMachine machine;
        const auto before = machine.encode();
        CPPUNIT_ASSERT(machine.apply(1, Bytes { 1, 2, 3 }).empty());
        CPPUNIT_ASSERT(machine.encode() == before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimClientTest);

} // namespace
