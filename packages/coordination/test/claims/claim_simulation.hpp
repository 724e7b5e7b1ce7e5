#pragma once

#include <ggv/coordination/claims/claim_client.hpp>
#include <ggv/coordination/claims/claim_state_machine.hpp>
#include <ggv/protocol/codec/claim_codec.hpp>
#include <ggv/state/request/request_state_machine.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace ggv::test {

//! Steps of the first request, in order; messages sent in a step have not arrived yet.
enum class RequestStep {
    Arrived,
    Claimed,
    Granted,
    Connecting,
    Sent,
    Executed,
    Head,
    Forwarding,
    Ended,
    Completed,
    Count
};

//! Fault that is injected into the first request right after a step.
enum class SimulatedFault {
    KillHost,
    FreezeHost,
    KillTarget,
    CutAnswer,
    SilentTarget,
    LateAnswer,
    Deadline,
    CallerDisconnected,
    HostStopping,
    Shed,
    LeaderLost,
    ClaimAnswersLost,
    ClaimAnswersDuplicated,
    Count
};

using ScheduledFault = std::pair<RequestStep, SimulatedFault>;

//! Size of a simulation and its faults, random or scheduled.
struct ClaimSimulationOptions
{
    std::uint64_t seed = 0;
    std::uint32_t hosts = 3;
    std::uint32_t keys = 4;
    std::uint32_t attempts = 8; //!< Attempts per key.
    std::uint64_t maxKeys = 4;
    bool faults = true; //!< Whether random faults occur.
    bool scripted = false; //!< Attempts are sent to the hosts in turn, 5 seconds apart.
    std::vector<ScheduledFault> scheduledFaults;
};

//! Statistics of a simulation, to check that it covers the intended cases.
struct ClaimSimulationCounts
{
    std::map<ResultCode, int> codes;
    std::map<Verdict, int> verdicts;
    int executions = 0;
    int replays = 0;
    int crashes = 0;
    int freezes = 0;
    std::map<std::uint64_t, Verdict> verdictByAttempt; //!< Keyed by the number of the attempt.
};

/**
 * @brief Simulates callers that resend their keys to several entry hosts, a target that counts
 * executions, and a claim group behind a network that loses, delays, duplicates and reorders
 * messages, in virtual time.
 *
 * Throws std::logic_error as soon as a guarantee is violated.
 */
class ClaimSimulation
{
public:
    explicit ClaimSimulation(const ClaimSimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_machine(limits())
        , m_keys(options.keys)
        , m_hosts(options.hosts)
    { }

    const ClaimSimulationCounts &run()
    {
        for (std::size_t it = 0; it < m_hosts.size(); ++it)
            start(it);
        for (std::size_t it = 0; it < m_keys.size(); ++it) {
            auto &key = m_keys[it];
            key.digest = digestKey(ServiceName("kits"), std::to_string(it));
            key.time = it % 2 == 0 ? 0 : wallTime();
            scheduleWithin(milliseconds(300), [this, it] { sendAttempt(it); });
        }
        while (!m_events.empty())
            runNext();
        for (const auto &host : m_hosts) {
            for (const auto &[id, request] : host.requests)
                require(request.endCount == 1, "a request did not end");
        }
        return m_counts;
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using Kind = RequestEventKind;

    struct Key
    {
        KeyDigest digest;
        UnixMillis time = 0;
        std::uint32_t attempts = 0;
        int executions = 0;
        std::uint64_t notRunAt = 0; // Value of m_step at the last verdict "not run".
        std::optional<StoredAnswer> firstAnswer; // Answer of the target.
    };

    struct Request
    {
        explicit Request(Instant deadline)
            : stateMachine(deadline)
        { }

        RequestStateMachine stateMachine;
        std::size_t key = 0;
        std::uint64_t number = 0;
        std::uint64_t arrivedAt = 0; // Value of m_step at the arrival.
        std::uint64_t seenPosition = 0;
        std::uint64_t fingerprint = 1;
        std::optional<ClaimId> claim;
        StoredAnswer answer; // Answer of the target.
        std::optional<StoredAnswer> storedAnswer; // Answer stored by the claim group.
        int endCount = 0;
    };

    struct Host
    {
        std::uint64_t process = 0;
        std::unique_ptr<ClaimClient> client;
        std::map<std::uint64_t, Request> requests;
        std::map<ClaimId, std::uint64_t> requestOf;
        Instant frozenUntil;
    };

    [[nodiscard]] ClaimTableLimits limits() const
    {
        return { m_options.maxKeys, 2000, 60'000, 120'000, 30'000 };
    }

    static void require(bool condition, const std::string &what)
    {
        if (!condition)
            throw std::logic_error(what);
    }

    // Random numbers and virtual clock.

    std::uint64_t randomUpTo(std::uint64_t most) { return m_random() % (most + 1); }
    bool chance(std::uint64_t percent) { return m_options.faults && m_random() % 100 < percent; }
    Duration randomUpTo(Duration most)
    {
        return Duration(randomUpTo(static_cast<std::uint64_t>(most.count())));
    }

    [[nodiscard]] UnixMillis wallTime() const
    {
        const auto sinceStart = m_now.time_since_epoch();
        return 1'800'000'000'000 + std::chrono::duration_cast<milliseconds>(sinceStart).count();
    }

    void scheduleWithin(Duration most, std::function<void()> action)
    {
        m_events.emplace(m_now + randomUpTo(most), std::move(action));
    }

    void runNext()
    {
        const auto event = m_events.begin();
        m_now = event->first;
        const auto action = std::move(event->second);
        m_events.erase(event);
        ++m_step;
        action();
    }

    // Scheduled faults are injected into the first request, which is request 1 on host 0.

    void onStepReached(RequestStep step)
    {
        if (m_nextRequest > 1)
            return;
        for (const auto &scheduled : m_options.scheduledFaults) {
            if (scheduled.first == step && !std::exchange(m_injected[scheduled], true))
                m_events.emplace(m_now, [this, fault = scheduled.second] { inject(fault); });
        }
    }

    void inject(SimulatedFault fault)
    {
        using Injector = void (ClaimSimulation::*)();
        static constexpr Injector Table[] {
            &ClaimSimulation::killHost,        &ClaimSimulation::freezeHost,
            &ClaimSimulation::killTarget,      &ClaimSimulation::cutAnswer,
            &ClaimSimulation::silenceTarget,   &ClaimSimulation::delayAnswer,
            &ClaimSimulation::expireDeadline,  &ClaimSimulation::disconnectCaller,
            &ClaimSimulation::stopHost,        &ClaimSimulation::shed,
            &ClaimSimulation::suspendGroup,    &ClaimSimulation::dropAnswers,
            &ClaimSimulation::duplicateAnswers
        };
        (this->*Table[static_cast<std::size_t>(fault)])();
    }

    void injectEvent(RequestEvent event)
    {
        if (m_hosts[0].requests.count(1) != 0U)
            applyEventLater(0, 1, Duration(0), event);
    }

    void killHost() { start(0); }
    void freezeHost() { m_hosts[0].frozenUntil = m_now + milliseconds(2000); }
    void killTarget()
    {
        m_targetDownUntil = m_now + milliseconds(2000);
        injectEvent({ Kind::ConnectionReset });
    }
    void cutAnswer()
    {
        m_truncatesAnswer = true;
        injectEvent({ Kind::AnswerTruncated });
    }
    void silenceTarget()
    {
        m_targetIsSilent = true;
        injectEvent({ Kind::TargetTimedOut });
    }
    void delayAnswer() { m_answerIsLate = true; }
    void expireDeadline() { injectEvent({ Kind::DeadlinePassed }); }
    void disconnectCaller() { injectEvent({ Kind::CallerDisconnected }); }
    void stopHost() { injectEvent({ Kind::HostStopping }); }
    void shed()
    {
        RequestEvent event { Kind::Refused };
        event.code = ResultCode::Overloaded;
        injectEvent(event);
    }
    void suspendGroup() { m_groupDownUntil = m_now + milliseconds(600); }
    void dropAnswers() { m_answersLostUntil = m_now + milliseconds(600); }
    void duplicateAnswers() { m_duplicatesMessages = true; }

    // Network that loses, delays, duplicates and reorders messages.
    void transmit(const std::function<void()> &deliver)
    {
        if (chance(8))
            return;
        scheduleWithin(milliseconds(m_options.faults ? 60 : 5), deliver);
        if (chance(8) || m_duplicatesMessages)
            scheduleWithin(milliseconds(2000), deliver);
    }

    // Entry hosts.

    void start(std::size_t index)
    {
        auto &host = m_hosts[index];
        host = Host {};
        host.process = m_random();
        ClaimClientOptions options;
        options.resendAfter = milliseconds(100);
        options.settlementTimeout = std::chrono::seconds(5);
        options.probeInterval = milliseconds(m_options.faults ? 10'000 : 500);
        host.client = std::make_unique<ClaimClient>(host.process, std::vector<MemberId> { 1, 2, 3 },
                                                    options);
        flush(index);
    }

    // Runs an action on a host unless its process has ended; a frozen process runs it on
    // resumption.
    void runOnHost(std::size_t index, Duration most, std::function<void(Host &)> action)
    {
        const auto process = m_hosts[index].process;
        scheduleWithin(most, [this, index, process, action = std::move(action)] {
            auto &host = m_hosts[index];
            if (host.process != process)
                return;
            if (m_now >= host.frozenUntil) {
                action(host);
                flush(index);
                return;
            }
            const auto wait = host.frozenUntil - m_now + randomUpTo(milliseconds(1));
            m_events.emplace(m_now + wait, [this, index, process, action] {
                if (m_hosts[index].process == process)
                    runOnHost(index, Duration(0), action);
            });
        });
    }

    void injectRandomFault(std::size_t index)
    {
        if (chance(2)) {
            ++m_counts.crashes;
            start(index);
        } else if (chance(3)) {
            ++m_counts.freezes;
            m_hosts[index].frozenUntil = m_now + randomUpTo(milliseconds(3000));
        } else if (chance(2)) {
            m_groupDownUntil = m_now + randomUpTo(milliseconds(1500));
        }
    }

    void flush(std::size_t index)
    {
        auto &host = m_hosts[index];
        auto output = host.client->takeOutput();
        for (auto &send : output.outgoingCalls)
            transmit([this, index, call = send.call] { callGroup(index, call); });
        for (auto &notification : output.notifications)
            handleNotification(index, notification);
        if (!output.notifications.empty())
            flush(index);
        scheduleTick(index);
    }

    void scheduleTick(std::size_t index)
    {
        if (pendingKeys() == 0 && m_hosts[index].client->pendingCalls() == 0)
            return;
        const auto process = m_hosts[index].process;
        const auto due = std::max(m_now, m_hosts[index].client->nextDeadline());
        m_events.emplace(due, [this, index, process] {
            auto &host = m_hosts[index];
            if (host.process == process && host.client->nextDeadline() <= m_now)
                runOnHost(index, Duration(0), [this](Host &it) { it.client->tick(m_now); });
        });
    }

    [[nodiscard]] std::size_t pendingKeys() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_keys.begin(), m_keys.end(),
                          [this](const Key &key) { return key.attempts < m_options.attempts; }));
    }

    void handleNotification(std::size_t index, const ClaimNotification &notification)
    {
        auto &host = m_hosts[index];
        const auto id = host.requestOf.at(notification.claim);
        RequestEvent event { Kind::ClaimUnconfirmed };
        if (notification.outcome) {
            event.kind = Kind::ClaimDecided;
            event.decision = notification.outcome->decision;
            onStepReached(RequestStep::Granted);
            event.answerStored
                = notification.outcome->answer && notification.outcome->answer->complete;
            host.requests.at(id).storedAnswer = notification.outcome->answer;
        }
        applyEvent(index, id, event);
    }

    void applyEvent(std::size_t index, std::uint64_t id, const RequestEvent &event)
    {
        auto &request = m_hosts[index].requests.at(id);
        const bool ended = request.stateMachine.result().has_value();
        const auto actions = request.stateMachine.apply(event, { m_now, 1.0, m_random() });
        if (!ended && request.stateMachine.result())
            recordResult(request, actions);
        require(request.endCount <= 1, "a request ended more than once");
        performClaim(index, id, actions);
        performTarget(index, id, actions);
    }

    void applyEventLater(std::size_t index, std::uint64_t id, Duration most, RequestEvent event)
    {
        event.attempt = m_hosts[index].requests.at(id).stateMachine.attempt();
        event.retry = static_cast<RetryPermit>(randomUpTo(2));
        runOnHost(index, most, [this, index, id, event](Host &) { applyEvent(index, id, event); });
    }

    void performClaim(std::size_t index, std::uint64_t id, const RequestActions &actions)
    {
        auto &host = m_hosts[index];
        auto &request = host.requests.at(id);
        const auto &digest = m_keys[request.key].digest;
        if (actions.requestClaim) {
            const ClaimRequest claimRequest {
                digest, {}, request.fingerprint, m_keys[request.key].time, request.seenPosition
            };
            request.claim = host.client->claim(claimRequest, m_now + milliseconds(800), m_now);
            host.requestOf[*request.claim] = id;
        }
        if (actions.releaseClaim)
            host.client->release({ digest, *request.claim }, m_now);
        if (actions.abandonClaim)
            host.client->abandon(*request.claim, m_now);
        if (actions.completeClaim)
            host.client->complete({ digest, *request.claim, request.answer }, m_now);
    }

    void performTarget(std::size_t index, std::uint64_t id, const RequestActions &actions)
    {
        if (actions.chooseTarget) {
            RequestEvent event { chance(20) ? Kind::Refused : Kind::TargetChosen };
            event.code = ResultCode::Overloaded;
            applyEventLater(index, id, milliseconds(chance(10) ? 1200 : 20), event);
        }
        if (actions.connect) {
            onStepReached(RequestStep::Connecting);
            applyEventLater(index, id, milliseconds(5),
                            { chance(20) ? Kind::ConnectFailed : Kind::Connected });
        }
        if (actions.send)
            sendToTarget(index, id);
    }

    // Target: executes the request and answers, or fails at some point.

    void sendToTarget(std::size_t index, std::uint64_t id)
    {
        const auto &request = m_hosts[index].requests.at(id);
        const auto key = request.key;
        const auto arrivedAt = request.arrivedAt;
        const auto process = m_hosts[index].process;
        injectRandomFault(index);
        onStepReached(RequestStep::Sent);
        if (m_hosts[index].process != process)
            return;
        if (m_targetIsSilent && id == 1)
            applyEventLater(index, id, milliseconds(500), { Kind::TargetTimedOut });
        if (chance(5)) {
            applyEventLater(index, id, milliseconds(50),
                            { Kind::ConnectionReset }); // The request is lost.
            return;
        }
        if (chance(10)) {
            applyEventLater(index, id, milliseconds(50), { Kind::TargetRefused });
            return;
        }
        scheduleWithin(milliseconds(20), [this, index, id, key, arrivedAt, process] {
            if (m_now < m_targetDownUntil) {
                if (m_hosts[index].process == process)
                    applyEventLater(index, id, Duration(0), { Kind::ConnectionReset });
                return;
            }
            const auto answer = execute(key, arrivedAt);
            if (m_hosts[index].process == process)
                answerFromTarget(index, id, answer);
        });
    }

    StoredAnswer execute(std::size_t index, std::uint64_t arrivedAt)
    {
        auto &key = m_keys[index];
        ++m_counts.executions;
        ++key.executions;
        require(key.executions == 1, "a request was executed twice");
        require(arrivedAt > key.notRunAt, "a request was executed after the verdict \"not run\"");
        const auto number = std::to_string(m_random());
        key.firstAnswer = StoredAnswer {
            201, { { "Order", number } }, Bytes(number.begin(), number.end()), true
        };
        onStepReached(RequestStep::Executed);
        return *key.firstAnswer;
    }

    void answerFromTarget(std::size_t index, std::uint64_t id, const StoredAnswer &answer)
    {
        m_hosts[index].requests.at(id).answer = answer;
        const Duration slow = milliseconds(chance(20) || (m_answerIsLate && id == 1) ? 1500 : 20);
        const std::pair<int, Kind> failures[] { { 10, Kind::ConnectionReset },
                                                { 10, Kind::TargetTimedOut } };
        for (const auto &[percent, kind] : failures) {
            if (chance(static_cast<std::uint64_t>(percent))) {
                applyEventLater(index, id, slow, { kind });
                return;
            }
        }
        scheduleAnswerEvents(index, id, slow,
                             chance(10) ? Kind::AnswerTruncated : Kind::AnswerEnded);
    }

    // Events of one connection arrive in order: head, first byte to the caller, end.
    void scheduleAnswerEvents(std::size_t index, std::uint64_t id, Duration most, Kind last)
    {
        const auto attempt = m_hosts[index].requests.at(id).stateMachine.attempt();
        const bool streams = m_options.scripted || m_random() % 2 == 0;
        runOnHost(index, most, [this, index, id, attempt, streams, last, most](Host &) {
            applyAnswerEvent(index, id, { Kind::AnswerHeadReceived, attempt }, RequestStep::Head);
            runOnHost(index, streams ? most : Duration(0), [=, this](Host &) {
                if (streams)
                    applyAnswerEvent(index, id, { Kind::AnswerForwardingStarted, attempt },
                                     RequestStep::Forwarding);
                runOnHost(index, most, [=, this](Host &) {
                    const auto kind = m_truncatesAnswer && id == 1 ? Kind::AnswerTruncated : last;
                    applyAnswerEvent(index, id, { kind, attempt }, RequestStep::Ended);
                });
            });
        });
    }

    void applyAnswerEvent(std::size_t index, std::uint64_t id, RequestEvent event, RequestStep step)
    {
        if (id == 1 && m_now < m_targetDownUntil)
            event.kind = Kind::ConnectionReset;
        if (id == 1 && m_targetIsSilent)
            return;
        applyEvent(index, id, event);
        onStepReached(step);
    }

    // Claim group: one state machine behind a leader that may change.

    void callGroup(std::size_t index, const ClaimCall &call)
    {
        if (m_now < m_groupDownUntil)
            return;
        if (chance(8)) {
            answerCall(index, { call.id, ResultCode::NotLeader, randomUpTo(3), {} });
            return;
        }
        if (chance(8)) { // Leadership is lost after the command was accepted.
            answerCall(index, { call.id, ResultCode::ChangeOutcomeUnknown, 0, {} });
            if (chance(50))
                scheduleWithin(milliseconds(1500), [this, call] { (void)applyCommand(call); });
            return;
        }
        if (std::holds_alternative<ClaimProbe>(call.command))
            answerCall(index, { call.id, ResultCode::Ok, 0, probedReply() });
        else
            answerCall(index, { call.id, ResultCode::Ok, 0, applyCommand(call) });
    }

    // The probed member may lag behind.
    ClaimReply probedReply()
    {
        if (!chance(50))
            m_laggingReply = m_machine.probeReply();
        return m_laggingReply;
    }

    ClaimReply applyCommand(const ClaimCall &call)
    {
        if (chance(5))
            m_machine.restore(m_machine.encode());
        const auto skewed = wallTime() + static_cast<UnixMillis>(randomUpTo(200)) - 100;
        const auto proposal = ClaimStateMachine::encodeProposal(call.command, skewed);
        auto reply = decodeClaimReply(m_machine.apply(++m_logIndex, proposal));
        if (std::holds_alternative<ClaimRequest>(call.command))
            onStepReached(RequestStep::Claimed);
        if (std::holds_alternative<ClaimCompletion>(call.command))
            onStepReached(RequestStep::Completed);
        return reply;
    }

    void answerCall(std::size_t index, const ClaimCallAnswer &answer)
    {
        if (m_now < m_answersLostUntil)
            return;
        transmit([this, index, answer] {
            runOnHost(index, Duration(0),
                      [this, answer](Host &host) { host.client->receive(answer, m_now); });
        });
    }

    // Callers.

    void sendAttempt(std::size_t index)
    {
        auto &key = m_keys[index];
        if (key.attempts++ >= m_options.attempts)
            return;
        const auto host = m_options.scripted ? (key.attempts - 1) % m_hosts.size()
                                             : randomUpTo(m_hosts.size() - 1);
        transmit([this, host, index] {
            runOnHost(host, Duration(0), [this, host, index](Host &) { accept(host, index); });
        });
        if (m_options.scripted) {
            m_events.emplace(m_now + std::chrono::seconds(5),
                             [this, index] { sendAttempt(index); });
            return;
        }
        // The caller resends early, late or after the retention, not always to the same host.
        const Duration waits[] { milliseconds(50), milliseconds(3000), std::chrono::seconds(150) };
        scheduleWithin(waits[randomUpTo(2)], [this, index] { sendAttempt(index); });
    }

    void accept(std::size_t index, std::size_t key)
    {
        auto &host = m_hosts[index];
        const auto id = ++m_nextRequest;
        const auto deadline = m_now + milliseconds(1000);
        Request request(deadline);
        request.key = key;
        request.number = id;
        request.arrivedAt = m_step;
        request.seenPosition = host.client->seenPosition();
        request.fingerprint = chance(5) ? 2 : 1;
        host.requests.emplace(id, request);
        RequestEvent head { Kind::HeadParsed };
        head.requestKind = RequestKind::NonIdempotent;
        applyEvent(index, id, head);
        applyEvent(index, id, { Kind::Received });
        onStepReached(RequestStep::Arrived);
        const auto process = host.process;
        m_events.emplace(deadline, [this, index, id, process] {
            if (m_hosts[index].process == process)
                applyEventLater(index, id, Duration(0), { Kind::DeadlinePassed });
        });
        if (chance(10))
            applyEventLater(index, id, milliseconds(400), { Kind::CallerDisconnected });
        if (chance(3))
            applyEventLater(index, id, milliseconds(400), { Kind::HostStopping });
        injectRandomFault(index);
    }

    void recordResult(Request &request, const RequestActions &actions)
    {
        ++request.endCount;
        const auto &result = *request.stateMachine.result();
        auto &key = m_keys[request.key];
        ++m_counts.codes[result.code];
        ++m_counts.verdicts[result.verdict];
        m_counts.verdictByAttempt[request.number] = result.verdict;
        if (result.verdict == Verdict::NotRun) {
            require(key.executions == 0, "verdict \"not run\", but the request was executed");
            key.notRunAt = m_step;
        }
        if (result.verdict == Verdict::Done)
            require(key.executions == 1, "verdict \"done\", but the request was not executed");
        if (actions.replay) {
            ++m_counts.replays;
            require(request.storedAnswer == key.firstAnswer,
                    "replay differs from the first answer");
        }
    }

    ClaimSimulationOptions m_options;
    std::mt19937_64 m_random;
    ClaimStateMachine m_machine;
    ClaimReply m_laggingReply { 0, ClaimSettlement {} };
    std::vector<Key> m_keys;
    std::vector<Host> m_hosts;
    std::multimap<Instant, std::function<void()>> m_events;
    Instant m_now { std::chrono::seconds(1) };
    std::map<ScheduledFault, bool> m_injected;
    Instant m_groupDownUntil;
    Instant m_answersLostUntil;
    Instant m_targetDownUntil;
    bool m_truncatesAnswer = false;
    bool m_targetIsSilent = false;
    bool m_answerIsLate = false;
    bool m_duplicatesMessages = false;
    std::uint64_t m_step = 0;
    std::uint64_t m_nextRequest = 0;
    LogIndex m_logIndex = 0;
    ClaimSimulationCounts m_counts;
};

} // namespace ggv::test
