#include <gateway/gateway_fixture.hpp>
#include <log/captured_output.hpp>

#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv::test;
using ggv::ForwardingPeer;
using ggv::HostName;
using ggv::RegionName;
using ggv::RouteKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

ScriptedAnswer ownAnswer(const std::string &status, const std::string &headers = "")
{
    return { answer(status, headers, "own"), false, false };
}

ScriptedAnswer refusal(const std::string &) { return ownAnswer("503", "Retry-After: 0.050\r\n"); }
ScriptedAnswer tooManyRequests(const std::string &) { return ownAnswer("429"); }
ScriptedAnswer requestTimeout(const std::string &) { return ownAnswer("408"); }
ScriptedAnswer unknownRoute(const std::string &) { return ownAnswer("404"); }
ScriptedAnswer badGateway(const std::string &) { return ownAnswer("502"); }
ScriptedAnswer gatewayTimeout(const std::string &) { return ownAnswer("504"); }
ScriptedAnswer ownSuccess(const std::string &) { return ownAnswer("200", MarkerHeader); }
ScriptedAnswer pathLost(const std::string &)
{
    return ownAnswer("503", "Refusal-Reason: path-lost\r\n");
}
ScriptedAnswer refusedByTargets(const std::string &)
{
    return ownAnswer("503", "Refusal-Reason: not-executed\r\n");
}
ScriptedAnswer targetSaysNotFound(const std::string &)
{
    return { answer("404", IdHeader, "none"), false, false };
}
ScriptedAnswer invalidStatus(const std::string &)
{
    return { answer("000", IdHeader + MarkerHeader, "broken"), false, false };
}
ScriptedAnswer ownInvalidStatus(const std::string &) { return ownAnswer("000"); }
ScriptedAnswer leavingLoadedSuccess(const std::string &)
{
    return { answer("200", IdHeader + MarkerHeader + "Leaving: 1\r\nLoad: 9,9,1\r\n", "whole"),
             false, false };
}

//! Answer of the nearest peer, and the expected result; the other peer succeeds.
struct PeerCase
{
    const char *name;
    ScriptedTarget::Script first;
    RouteKind kind;
    const char *status;
    std::size_t sends; //!< Expected requests received by both peers.
};

const PeerCase PeerCases[] = {
    { "refused, idempotent", refusal, RouteKind::Idempotent, "200", 2 },
    { "refused, non-idempotent", refusal, RouteKind::NonIdempotent, "200", 2 },
    { "429, non-idempotent", tooManyRequests, RouteKind::NonIdempotent, "200", 2 },
    { "408, non-idempotent", requestTimeout, RouteKind::NonIdempotent, "200", 2 },
    { "peer has an older configuration", unknownRoute, RouteKind::NonIdempotent, "200", 2 },
    { "peer's own 502, idempotent", badGateway, RouteKind::Idempotent, "502", 1 },
    { "peer's own 502, non-idempotent", badGateway, RouteKind::NonIdempotent, "502", 1 },
    { "peer's own 504, non-idempotent", gatewayTimeout, RouteKind::NonIdempotent, "504", 1 },
    { "500 of a target, idempotent", serverError, RouteKind::Idempotent, "500", 1 },
    { "500 of a target, non-idempotent", serverError, RouteKind::NonIdempotent, "500", 1 },
    { "404 of a target", targetSaysNotFound, RouteKind::Idempotent, "404", 1 },
    { "503 after execution, idempotent", unavailableAfterExecution, RouteKind::Idempotent, "502",
      1 },
    { "503 after execution, non-idempotent", unavailableAfterExecution, RouteKind::NonIdempotent,
      "502", 1 },
    { "peer lost, idempotent", connectionLost, RouteKind::Idempotent, "200", 2 },
    { "peer lost, non-idempotent", connectionLost, RouteKind::NonIdempotent, "502", 1 },
    { "cut off, idempotent", truncated, RouteKind::Idempotent, "200", 2 },
    { "cut off, non-idempotent", truncated, RouteKind::NonIdempotent, "502", 1 },
    { "another request's answer, idempotent", wrongRequestId, RouteKind::Idempotent, "200", 2 },
    { "another request's answer, non-idempotent", wrongRequestId, RouteKind::NonIdempotent, "502",
      1 },
    { "late refusal of another request", notExecutedOfAnotherRequest, RouteKind::NonIdempotent,
      "502", 1 },
    { "no integrity marker", answerWithoutMarker, RouteKind::NonIdempotent, "502", 1 },
    { "success without a request id", ownSuccess, RouteKind::NonIdempotent, "502", 1 },
    { "invalid status, idempotent", invalidStatus, RouteKind::Idempotent, "200", 2 },
    { "invalid status, non-idempotent", invalidStatus, RouteKind::NonIdempotent, "502", 1 },
    { "invalid status without a request id", ownInvalidStatus, RouteKind::NonIdempotent, "502", 1 },
};

//! What a peer does with a request, and whether a target may have executed it then.
struct PeerBehaviour
{
    ScriptedTarget::Script script; //!< Null if the peer cannot be reached.
    bool mayExecute;
};

const std::vector<PeerBehaviour> &peerBehaviours()
{
    static const std::vector<PeerBehaviour> all {
        { nullptr, false },
        { refusal, false },
        { tooManyRequests, false },
        { requestTimeout, false },
        { unknownRoute, false },
        { pathLost, false },
        { refusedByTargets, false },
        { success, true },
        { badGateway, true },
        { gatewayTimeout, true },
        { serverError, true },
        { targetSaysNotFound, true },
        { unavailableAfterExecution, true },
        { connectionLost, true },
        { truncated, true },
        { wrongRequestId, true },
        { answerWithoutMarker, true },
        { invalidStatus, true },
    };
    return all;
}

bool isCompletion(const ggv::LoggedEvent &event)
{
    return event.event == "request-answered" || event.event == "request-refused"
        || event.event == "request-failed" || event.event == "request-abandoned";
}

//! A gateway that reaches no target, and scripted peers in the given regions.
class CutOffGateway
{
public:
    explicit CutOffGateway(const ggv::RetryPolicy &policy = { 1.0, seconds(1), 1000.0 })
        : m_gateway(policy)
    {
        m_gateway.addClosedTarget();
        m_pool.start();
    }
    ~CutOffGateway() { m_pool.stop(); }

    const ScriptedTarget &addPeer(ScriptedTarget::Script script, const std::string &region)
    {
        m_scripted.push_back(
            std::make_unique<ScriptedTarget>(m_pool.context(0), std::move(script)));
        addPeer({ nextName(), m_scripted.back()->endpoint(), RegionName(region) });
        return *m_scripted.back();
    }
    void addPeer(const PeerBehaviour &behaviour, std::atomic<std::size_t> &executions)
    {
        if (!behaviour.script) {
            addClosedPeer("north");
            return;
        }
        addPeer(
            [&behaviour, &executions](const std::string &request) {
                executions += behaviour.mayExecute ? 1 : 0;
                return behaviour.script(request);
            },
            "north");
    }
    void addClosedPeer(const std::string &region)
    {
        m_closed.emplace_back(m_pool.context(0));
        addPeer({ nextName(), m_closed.back().endpoint(), RegionName(region) });
    }
    void addPeer(ForwardingPeer peer) { m_peers.push_back(std::move(peer)); }

    void start(RouteKind kind, std::uint32_t attempts = 2)
    {
        m_gateway.losePath();
        startOnPath(kind, attempts);
    }
    void startOnPath(RouteKind kind, std::uint32_t attempts = 2)
    {
        m_gateway.setPeers(m_peers);
        m_gateway.start(kind, attempts);
    }

    GatewayFixture &gateway() { return m_gateway; }
    std::string status(const std::string &time = "2000")
    {
        return m_gateway.call(time).substr(9, 3);
    }
    std::size_t sends() const
    {
        std::size_t count = 0;
        for (const auto &it : m_scripted)
            count += it->requests().size();
        return count;
    }

private:
    HostName nextName() const { return HostName("peer-" + std::to_string(m_peers.size())); }

    ggv::IoPool m_pool { 1 };
    std::vector<std::unique_ptr<ScriptedTarget>> m_scripted;
    std::vector<ClosedPort> m_closed;
    std::vector<ForwardingPeer> m_peers;
    GatewayFixture m_gateway;
};

//! A gateway whose only target follows the script.
class ServingGateway
{
public:
    ServingGateway(ScriptedTarget::Script script, RouteKind kind)
    {
        m_gateway.addTarget(std::move(script));
        m_gateway.start(kind, 2);
    }

    GatewayFixture &gateway() { return m_gateway; }

private:
    GatewayFixture m_gateway;
};

class PeerForwardingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerForwardingTest);
    CPPUNIT_TEST(callersOfACutOffHostAreServed);
    CPPUNIT_TEST(eachAnswerOfAPeerGivesItsStatus);
    CPPUNIT_TEST(requestsRunAtMostOnceAndRefusedOnesNever);
    CPPUNIT_TEST(peerGetsTheUnchangedRequestWithoutAnInstance);
    CPPUNIT_TEST(unreachablePeerIsReplacedForNonIdempotentRequest);
    CPPUNIT_TEST(cutAnswerIsNotPassedOn);
    CPPUNIT_TEST(longAnswersAreStreamed);
    CPPUNIT_TEST(peersOfOtherRegionsGetNothing);
    CPPUNIT_TEST(requestsReachAtMostThreePeers);
    CPPUNIT_TEST(withoutPeersTheRefusalIsImmediate);
    CPPUNIT_TEST(cutOffPeersDoNotForwardAgain);
    CPPUNIT_TEST(cutOffPeerIsNotTriedForTheBackoff);
    CPPUNIT_TEST(callerDisconnectCancelsTheRequestAtThePeer);
    CPPUNIT_TEST(silentPeerTimesOutAtDeadline);
    CPPUNIT_TEST(unsentRequestMovesToAPeerOnSuspicion);
    CPPUNIT_TEST(unreachableTargetsRaiseTheSuspicionThemselves);
    CPPUNIT_TEST(openPathUsesNoPeer);
    CPPUNIT_TEST(retriesAfterLostPeersAreBounded);
    CPPUNIT_TEST(refusalsByTargetsOfPeersDrawOnTheBudget);
    CPPUNIT_TEST(answerOfAPeerSaysNothingOfOwnTargets);
    CPPUNIT_TEST(logNamesThePeer);
    CPPUNIT_TEST(logExplainsTheCause);
    CPPUNIT_TEST_SUITE_END();

public:
    void callersOfACutOffHostAreServed()
    {
        for (const auto kind : { RouteKind::Idempotent, RouteKind::NonIdempotent }) {
            ServingGateway peer(success, kind);
            CutOffGateway cutOff;
            cutOff.addPeer(peer.gateway().asPeer("b", "north"));
            cutOff.start(kind);
            const auto text = cutOff.gateway().call();
            CPPUNIT_ASSERT_EQUAL(std::string("200"), text.substr(9, 3));
            CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
            CPPUNIT_ASSERT(text.find(MarkerHeader) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.gateway().receivedRequests());
        }
    }

    void eachAnswerOfAPeerGivesItsStatus()
    {
        for (const auto &it : PeerCases) {
            CutOffGateway cutOff;
            cutOff.addPeer(it.first, "north");
            cutOff.addPeer(success, "south");
            cutOff.start(it.kind);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.status), cutOff.status());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.sends, cutOff.sends());
        }
    }

    void requestsRunAtMostOnceAndRefusedOnesNever()
    {
        CPPUNIT_ASSERT(rc::check("peers execute a request at most once, and no refused one", [] {
            const auto numbers = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, peerBehaviours().size()));
            const bool isIdempotent = *rc::gen::arbitrary<bool>();
            const bool isSuspected = *rc::gen::arbitrary<bool>();
            std::atomic<std::size_t> executions = 0;
            const CapturedOutput output;
            CutOffGateway cutOff;
            for (const auto number : numbers)
                cutOff.addPeer(peerBehaviours()[number], executions);
            if (isSuspected)
                cutOff.gateway().suspectPath();
            else
                cutOff.gateway().losePath();
            cutOff.startOnPath(isIdempotent ? RouteKind::Idempotent : RouteKind::NonIdempotent);
            const auto status = cutOff.status();
            RC_ASSERT(cutOff.sends() <= ggv::PeerForwarding::MaxPeers);
            RC_ASSERT(executions <= (isIdempotent ? 2 : 1));
            RC_ASSERT(status != "503" || executions == 0);
            RC_ASSERT(status != "429" && status != "408");
            const auto events = output.events();
            RC_ASSERT(std::count_if(events.begin(), events.end(), isCompletion) == 1);
        }));
    }

    void peerGetsTheUnchangedRequestWithoutAnInstance()
    {
        CutOffGateway cutOff;
        const auto &peer = cutOff.addPeer(success, "north");
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status("700"));
        const auto request = peer.requests().front();
        CPPUNIT_ASSERT(request.starts_with("POST /a/1 HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(request.find(IdHeader) != std::string::npos);
        CPPUNIT_ASSERT(request.find("Cookie: Object=7\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("Instance:") == std::string::npos);
        CPPUNIT_ASSERT(request.ends_with("\r\n\r\nbody"));
        const auto time = request.substr(request.find("Time-Left: ") + 11);
        CPPUNIT_ASSERT(std::stoi(time) > 0);
        CPPUNIT_ASSERT(std::stoi(time) < 700);
    }

    void unreachablePeerIsReplacedForNonIdempotentRequest()
    {
        CutOffGateway cutOff;
        cutOff.addClosedPeer("north");
        cutOff.addPeer(success, "south");
        cutOff.start(RouteKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cutOff.sends());
    }

    void cutAnswerIsNotPassedOn()
    {
        CutOffGateway cutOff;
        cutOff.addPeer(truncated, "north");
        cutOff.addPeer(success, "south");
        cutOff.start(RouteKind::Idempotent);
        const auto text = cutOff.gateway().call();
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
        CPPUNIT_ASSERT(text.find("half") == std::string::npos);
    }

    void longAnswersAreStreamed()
    {
        const std::string body(200'000, 'x');
        ServingGateway peer(
            [&body](const std::string &) {
                return ScriptedAnswer { answer("200", IdHeader + MarkerHeader, body), false,
                                        false };
            },
            RouteKind::Idempotent);
        CutOffGateway cutOff;
        cutOff.addPeer(peer.gateway().asPeer("b", "north"));
        cutOff.start(RouteKind::Idempotent);
        CPPUNIT_ASSERT(cutOff.gateway().call().ends_with(body));
    }

    void peersOfOtherRegionsGetNothing()
    {
        CutOffGateway cutOff;
        const auto &forbidden = cutOff.addPeer(success, "south");
        cutOff.addPeer(connectionLost, "north");
        cutOff.gateway().setAllowedRegions({ RegionName("north") });
        cutOff.start(RouteKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("502"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::string("503"), cutOff.status());
        CPPUNIT_ASSERT(forbidden.requests().empty());
    }

    void requestsReachAtMostThreePeers()
    {
        CutOffGateway cutOff;
        for (int n = 0; n < 5; ++n)
            cutOff.addPeer(refusal, "north");
        cutOff.start(RouteKind::NonIdempotent);
        const auto text = cutOff.gateway().call();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
        CPPUNIT_ASSERT(text.find("Retry-After: 0.") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, cutOff.sends());
    }

    void withoutPeersTheRefusalIsImmediate()
    {
        CutOffGateway cutOff;
        cutOff.start(RouteKind::NonIdempotent);
        const auto startedAt = ggv::monotonicNow();
        const auto text = cutOff.gateway().call();
        CPPUNIT_ASSERT(ggv::monotonicNow() - startedAt < milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
        // No other host is known to reach the targets.
        CPPUNIT_ASSERT(text.find("Retry-After: 0.") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Retry-After: 0.0") == std::string::npos);
    }

    void cutOffPeersDoNotForwardAgain()
    {
        CutOffGateway other;
        const auto &third = other.addPeer(success, "north");
        other.start(RouteKind::NonIdempotent);
        CutOffGateway cutOff;
        cutOff.addPeer(other.gateway().asPeer("b", "north"));
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), cutOff.status());
        CPPUNIT_ASSERT(third.requests().empty());
    }

    void cutOffPeerIsNotTriedForTheBackoff()
    {
        CutOffGateway cutOff;
        const auto &first = cutOff.addPeer(pathLost, "north");
        cutOff.addPeer(success, "south");
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first.requests().size());
    }

    void callerDisconnectCancelsTheRequestAtThePeer()
    {
        ServingGateway peer(noAnswer, RouteKind::Idempotent);
        CutOffGateway cutOff;
        cutOff.addPeer(peer.gateway().asPeer("b", "north"));
        cutOff.start(RouteKind::Idempotent);
        auto caller = cutOff.gateway().send("2900");
        waitUntil([&] { return peer.gateway().receivedRequests() == 1; });
        caller.close();
        waitUntil([&] { return peer.gateway().target(0).peerClosed(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.gateway().receivedRequests());
    }

    void silentPeerTimesOutAtDeadline()
    {
        CutOffGateway cutOff;
        cutOff.addPeer(noAnswer, "north");
        cutOff.addPeer(success, "south");
        cutOff.start(RouteKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("504"), cutOff.status("300"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cutOff.sends());
    }

    void unsentRequestMovesToAPeerOnSuspicion()
    {
        CutOffGateway cutOff;
        cutOff.addPeer(success, "north");
        cutOff.gateway().suspectPath();
        cutOff.startOnPath(RouteKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cutOff.sends());
    }

    void unreachableTargetsRaiseTheSuspicionThemselves()
    {
        CutOffGateway cutOff;
        cutOff.gateway().addClosedTarget();
        cutOff.gateway().addClosedTarget();
        cutOff.addPeer(success, "north");
        cutOff.startOnPath(RouteKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cutOff.sends());
    }

    void openPathUsesNoPeer()
    {
        CutOffGateway cutOff;
        cutOff.addPeer(success, "north");
        cutOff.startOnPath(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, cutOff.sends());
    }

    void retriesAfterLostPeersAreBounded()
    {
        CutOffGateway cutOff;
        for (int n = 0; n < 3; ++n)
            cutOff.addPeer(connectionLost, "north");
        cutOff.start(RouteKind::Idempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("502"), cutOff.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, cutOff.sends());
    }

    void refusalsByTargetsOfPeersDrawOnTheBudget()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sendsWithOneRetry(refusedByTargets));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, sendsWithOneRetry(refusal));
    }

    void answerOfAPeerSaysNothingOfOwnTargets()
    {
        CutOffGateway cutOff;
        cutOff.addPeer(leavingLoadedSuccess, "north");
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        CPPUNIT_ASSERT(cutOff.gateway().targetStateReports().empty());
    }

    void logNamesThePeer()
    {
        const CapturedOutput output;
        CutOffGateway cutOff;
        cutOff.addPeer(success, "north");
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), cutOff.status());
        const auto events = output.events();
        const auto end = std::find_if(events.begin(), events.end(), [](const auto &event) {
            return event.event == "request-answered";
        });
        CPPUNIT_ASSERT(end != events.end());
        CPPUNIT_ASSERT_EQUAL(std::string("peer-0"), end->text("peer"));
        const auto evidence = explain(output).evidence;
        CPPUNIT_ASSERT(std::any_of(evidence.begin(), evidence.end(), [](const auto &it) {
            return it.find("peer-0") != std::string::npos;
        }));
    }

    void logExplainsTheCause()
    {
        assertExplained(connectionLost, "peer ended or garbled the exchange");
        assertExplained(refusal, "peers refused the request");
        assertExplained(nullptr, "no target and no peer");
    }

private:
    static ggv::RequestExplanation explain(const CapturedOutput &output)
    {
        return ggv::explainRequest("1", [events = output.events()](const auto &reader) {
            for (const auto &it : events)
                reader(it);
        });
    }

    // A null script stands for a host without peers.
    static void assertExplained(const ScriptedTarget::Script &script, const std::string &expected)
    {
        const CapturedOutput output;
        CutOffGateway cutOff;
        if (script)
            cutOff.addPeer(script, "north");
        cutOff.start(RouteKind::NonIdempotent);
        (void)cutOff.status();
        const auto cause = explain(output).cause;
        CPPUNIT_ASSERT_MESSAGE(cause, cause.find(expected) != std::string::npos);
    }

    // Requests that peers receive if the retry budget allows a single retry.
    static std::size_t sendsWithOneRetry(const ScriptedTarget::Script &script)
    {
        CutOffGateway cutOff({ 0.0, seconds(1000), 0.0 });
        for (int n = 0; n < 3; ++n)
            cutOff.addPeer(script, "north");
        cutOff.start(RouteKind::NonIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), cutOff.status());
        return cutOff.sends();
    }

    template <typename Condition>
    static void waitUntil(Condition condition)
    {
        const auto deadline = ggv::monotonicNow() + seconds(WaitSeconds);
        while (!condition() && ggv::monotonicNow() < deadline)
            std::this_thread::sleep_for(milliseconds(5));
        CPPUNIT_ASSERT(condition());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerForwardingTest);

} // namespace
