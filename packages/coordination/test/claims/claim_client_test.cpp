#include <ggv/coordination/claims/claim_client.hpp>
#include <ggv/coordination/claims/claim_state_machine.hpp>
#include <ggv/protocol/codec/claim_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

namespace {

using namespace ggv;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start { seconds(100) };
constexpr Instant Deadline = Start + seconds(1);
constexpr KeyDigest Key { 1, 2 };

// Returns options with a probe interval so long that only the test of probes reaches it.
ClaimClientOptions optionsWithoutProbes()
{
    ClaimClientOptions options;
    options.probeInterval = std::chrono::minutes(10);
    return options;
}

// Drives a client and replies to its calls.
struct ClientFixture
{
    ClaimClient client;
    ClaimClientOutput output;

    explicit ClientFixture(const ClaimClientOptions &options = optionsWithoutProbes())
        : client(77, { 1, 2, 3 }, options)
    {
        client.tick(Start); // Sends the first probe.
        reply(takeCalls().front().call.id, ClaimSettlement { true }, 10);
        (void)takeCalls();
    }

    std::vector<OutgoingClaimCall> takeCalls()
    {
        output = client.takeOutput();
        return output.outgoingCalls;
    }

    ClaimCall claim()
    {
        CPPUNIT_ASSERT(client.claim({ Key, {}, 1, 0, client.seenPosition() }, Deadline, Start));
        const auto outgoingCalls = takeCalls();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
        return outgoingCalls.front().call;
    }

    template <typename Content>
    void reply(const ClaimCallId &id, Content content, std::uint64_t position, Instant now = Start)
    {
        client.receive({ id, ResultCode::Ok, 0, { position, content } }, now);
    }
};

ClaimOutcome granted() { return { ClaimDecision::Granted, {} }; }

class ClaimClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimClientTest);
    CPPUNIT_TEST(reportsOutcomeOnce);
    CPPUNIT_TEST(resendsSameClaimToAnotherMember);
    CPPUNIT_TEST(followsNamedLeader);
    CPPUNIT_TEST(lateGrantIsNotReported);
    CPPUNIT_TEST(abandonedClaimIsReleasedUntilAnswered);
    CPPUNIT_TEST(repliesToAnotherProcessAreIgnored);
    CPPUNIT_TEST(limitsAreEnforced);
    CPPUNIT_TEST(updatesPosition);
    CPPUNIT_TEST(storedAnswerWithInvalidStatusIsNoResult);
    CPPUNIT_TEST(resultThatIsNotKeptStaysFinished);
    CPPUNIT_TEST(machineAppliesAndRestores);
    CPPUNIT_TEST(machineSkipsInvalidCommands);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsOutcomeOnce()
    {
        ClientFixture fixture;
        const auto call = fixture.claim();
        CPPUNIT_ASSERT(
            (std::get<ClaimRequest>(call.command).claim == ClaimId { 77, call.id.sequence }));
        for (int it = 0; it < 2; ++it)
            fixture.reply(call.id, granted(), 11);
        (void)fixture.takeCalls();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.output.notifications.size());
        CPPUNIT_ASSERT(fixture.output.notifications.front().outcome == granted());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.client.pendingCalls());
    }

    // Hosts of an earlier version may have stored it.
    void storedAnswerWithInvalidStatusIsNoResult()
    {
        for (const int status : { 0, 1, 42, 99, 200, 404, 599, 600, 999 }) {
            ClientFixture fixture;
            const StoredAnswer answer { static_cast<std::uint16_t>(status), {}, {}, true };
            const ClaimOutcome finished { ClaimDecision::Finished, answer };
            fixture.reply(fixture.claim().id, finished, 11);
            (void)fixture.takeCalls();
            const bool isValid = status >= 100 && status <= 599;
            const auto expected
                = isValid ? finished : ClaimOutcome { ClaimDecision::Unresolved, {} };
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                                   fixture.output.notifications.front().outcome == expected);
        }
    }

    // Its status is not kept.
    void resultThatIsNotKeptStaysFinished()
    {
        ClientFixture fixture;
        const ClaimOutcome notKept { ClaimDecision::Finished, StoredAnswer { 0, {}, {}, false } };
        fixture.reply(fixture.claim().id, notKept, 11);
        (void)fixture.takeCalls();
        CPPUNIT_ASSERT(fixture.output.notifications.front().outcome == notKept);
    }

    void resendsSameClaimToAnotherMember()
    {
        ClientFixture fixture;
        const auto call = fixture.claim();
        fixture.client.tick(Start + milliseconds(499));
        CPPUNIT_ASSERT(fixture.takeCalls().empty());
        fixture.client.tick(Start + milliseconds(500));
        const auto resent = fixture.takeCalls();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, resent.size());
        CPPUNIT_ASSERT(resent.front().call == call);
        CPPUNIT_ASSERT(resent.front().to != 1);
    }

    void followsNamedLeader()
    {
        for (const auto code : { ResultCode::NotLeader, ResultCode::ChangeOutcomeUnknown }) {
            ClientFixture fixture;
            const auto call = fixture.claim();
            fixture.client.receive({ call.id, code, 3, {} }, Start);
            fixture.client.tick(Start + milliseconds(50));
            const auto resent = fixture.takeCalls();
            CPPUNIT_ASSERT(resent.size() == 1 && resent.front().call == call);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, resent.front().to);
        }
    }

    void lateGrantIsNotReported()
    {
        for (const bool timerFirst : { true, false }) {
            ClientFixture fixture;
            const auto call = fixture.claim();
            if (timerFirst)
                fixture.client.tick(Deadline);
            // After a suspension, the client may read the reply before its timer fires.
            fixture.reply(call.id, granted(), 11, Deadline);
            const auto outgoingCalls = fixture.takeCalls();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.output.notifications.size());
            CPPUNIT_ASSERT(!fixture.output.notifications.front().outcome);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            const ClaimRelease release { Key, { 77, call.id.sequence } };
            CPPUNIT_ASSERT(std::get<ClaimRelease>(outgoingCalls.front().call.command) == release);
        }
    }

    void abandonedClaimIsReleasedUntilAnswered()
    {
        ClientFixture fixture;
        const auto call = fixture.claim();
        fixture.client.abandon({ 77, call.id.sequence }, Start);
        fixture.reply(call.id, granted(), 11);
        auto outgoingCalls = fixture.takeCalls();
        CPPUNIT_ASSERT(fixture.output.notifications.empty());
        auto now = Start;
        for (int it = 0; it < 5; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            CPPUNIT_ASSERT(
                std::holds_alternative<ClaimRelease>(outgoingCalls.front().call.command));
            now += milliseconds(500);
            fixture.client.tick(now);
            outgoingCalls = fixture.takeCalls();
        }
        fixture.reply(outgoingCalls.front().call.id, ClaimSettlement { true }, 12, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.client.pendingCalls());
    }

    void repliesToAnotherProcessAreIgnored()
    {
        ClientFixture fixture;
        const auto call = fixture.claim();
        fixture.reply({ 76, call.id.sequence }, granted(), 11);
        fixture.reply(call.id, ClaimSettlement { true }, 11); // Not a valid reply to a claim.
        (void)fixture.takeCalls();
        CPPUNIT_ASSERT(fixture.output.notifications.empty());
    }

    void limitsAreEnforced()
    {
        auto options = optionsWithoutProbes();
        options.maxPendingClaims = 1;
        options.maxPendingSettlements = 1;
        options.settlementTimeout = seconds(10);
        ClientFixture fixture(options);
        (void)fixture.claim();
        CPPUNIT_ASSERT(!fixture.client.claim({ Key, {}, 1, 0, 0 }, Deadline, Start));
        fixture.client.release({ Key, { 77, 1 } }, Start);
        fixture.client.release({ Key, { 77, 2 } }, Start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fixture.client.pendingCalls());
        fixture.client.tick(Start + seconds(11));
        fixture.client.tick(Start + seconds(22));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.client.pendingCalls());
    }

    void updatesPosition()
    {
        ClientFixture fixture;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, fixture.client.seenPosition());
        const auto call = fixture.claim();
        fixture.reply(call.id, granted(), 9); // A delayed, outdated reply.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, fixture.client.seenPosition());
        CPPUNIT_ASSERT(fixture.client.nextDeadline() == Start + std::chrono::minutes(10));
        for (int it = 1; it <= 3; ++it) {
            fixture.client.tick(Start + it * std::chrono::minutes(10));
            const auto outgoingCalls = fixture.takeCalls();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outgoingCalls.size());
            CPPUNIT_ASSERT(std::holds_alternative<ClaimProbe>(outgoingCalls.front().call.command));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fixture.client.pendingCalls());
        }
    }

    void machineAppliesAndRestores()
    {
        ClaimStateMachine machine;
        const ClaimRequest request { Key, { 77, 1 }, 1, 0, 0 };
        const auto apply = [](ClaimStateMachine &on, const ClaimCommand &command) {
            return decodeClaimReply(on.apply(1, ClaimStateMachine::encodeProposal(command, 1000)));
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

    void machineSkipsInvalidCommands()
    {
        ClaimStateMachine machine;
        const auto before = machine.encode();
        CPPUNIT_ASSERT(machine.apply(1, Bytes { 1, 2, 3 }).empty());
        CPPUNIT_ASSERT(machine.encode() == before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimClientTest);

} // namespace
