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

//! Steps of the first request, in order; what goes out with a step is still on its way.
enum class RequestStep {
    Arrived,
    Claimed,
    Granted,
    Connecting,
    Sent,
    Executed,
    Head,
    Passing,
    Ended,
    Completed,
    Count
};

//! A fault that strikes the first request right after a step.
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
    ClaimAnswersDoubled,
    Count
};

using ScheduledFault = std::pair<RequestStep, SimulatedFault>;

//! Sizes of one history, and its faults: random ones or those that are listed.
struct ClaimSimulationOptions
{
    std::uint64_t seed = 0;
    std::uint32_t hosts = 3;
    std::uint32_t keys = 4;
    std::uint32_t attempts = 8; //!< For each key.
    std::uint64_t maxKeys = 4;
    bool faults = true; //!< Random ones.
    bool scripted = false; //!< Attempts go to one host after the other, 5 seconds apart.
    std::vector<ScheduledFault> strikes;
};

//! What happened in a history; shows that it was not empty.
struct ClaimSimulationCounts
{
    std::map<ResultCode, int> codes;
    std::map<Verdict, int> verdicts;
    int executions = 0;
    int replays = 0;
    int crashes = 0;
    int freezes = 0;
    std::map<std::uint64_t, Verdict> told; //!< By number of the attempt.
};

/**
 * @brief Callers that resend their keys to several entry hosts, a target that counts executions and
 * a claim group behind a network that loses, delays, doubles and reorders; on a virtual clock.
 *
 * Throws std::logic_error as soon as a promise is broken.
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
            key.time = it % 2 == 0 ? 0 : wall();
            after(milliseconds(300), [this, it] { sendAttempt(it); });
        }
        while (!m_events.empty())
            runNext();
        for (const auto &host : m_hosts) {
            for (const auto &[id, request] : host.requests)
                require(request.ends == 1, "a request has no end");
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
        std::uint64_t notRunAt = 0; // Step of the last "not run".
        std::optional<StoredAnswer> firstAnswer; // Of the target.
    };

    struct Request
    {
        explicit Request(Instant deadline)
            : outcome(deadline)
        { }

        RequestStateMachine outcome;
        std::size_t key = 0;
        std::uint64_t number = 0;
        std::uint64_t arrivedAt = 0; // Step.
        std::uint64_t seenPosition = 0;
        std::uint64_t fingerprint = 1;
        std::optional<ClaimId> claim;
        StoredAnswer answer; // Of the target.
        std::optional<StoredAnswer> kept; // Of the claim group.
        int ends = 0;
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

    // Random source and clock.

    std::uint64_t upTo(std::uint64_t most) { return m_random() % (most + 1); }
    bool chance(std::uint64_t percent) { return m_options.faults && m_random() % 100 < percent; }
    Duration upTo(Duration most)
    {
        return Duration(upTo(static_cast<std::uint64_t>(most.count())));
    }

    [[nodiscard]] UnixMillis wall() const
    {
        const auto sinceStart = m_now.time_since_epoch();
        return 1'800'000'000'000 + std::chrono::duration_cast<milliseconds>(sinceStart).count();
    }

    void after(Duration most, std::function<void()> action)
    {
        m_events.emplace(m_now + upTo(most), std::move(action));
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

    // Listed faults of the first request, which is request 1 on host 0.

    void reached(RequestStep step)
    {
        if (m_nextRequest > 1)
            return;
        for (const auto &strike : m_options.strikes) {
            if (strike.first == step && !std::exchange(m_struck[strike], true))
                m_events.emplace(m_now, [this, fault = strike.second] { inflict(fault); });
        }
    }

    void inflict(SimulatedFault fault)
    {
        using Inflict = void (ClaimSimulation::*)();
        static constexpr Inflict Table[] {
            &ClaimSimulation::killHost,      &ClaimSimulation::freezeHost,
            &ClaimSimulation::killTarget,    &ClaimSimulation::cutAnswer,
            &ClaimSimulation::silenceTarget, &ClaimSimulation::delayAnswer,
            &ClaimSimulation::passDeadline,  &ClaimSimulation::loseCaller,
            &ClaimSimulation::stopHost,      &ClaimSimulation::shed,
            &ClaimSimulation::loseLeader,    &ClaimSimulation::loseAnswers,
            &ClaimSimulation::doubleAnswers
        };
        (this->*Table[static_cast<std::size_t>(fault)])();
    }

    void strikeWith(RequestEvent event)
    {
        if (m_hosts[0].requests.count(1) != 0U)
            feedLater(0, 1, Duration(0), event);
    }

    void killHost() { start(0); }
    void freezeHost() { m_hosts[0].frozenUntil = m_now + milliseconds(2000); }
    void killTarget()
    {
        m_targetDownUntil = m_now + milliseconds(2000);
        strikeWith({ Kind::ConnectionReset });
    }
    void cutAnswer()
    {
        m_cutsAnswer = true;
        strikeWith({ Kind::AnswerTruncated });
    }
    void silenceTarget()
    {
        m_silent = true;
        strikeWith({ Kind::TargetTimedOut });
    }
    void delayAnswer() { m_late = true; }
    void passDeadline() { strikeWith({ Kind::DeadlinePassed }); }
    void loseCaller() { strikeWith({ Kind::CallerDisconnected }); }
    void stopHost() { strikeWith({ Kind::HostStopping }); }
    void shed()
    {
        RequestEvent event { Kind::Refused };
        event.code = ResultCode::Overloaded;
        strikeWith(event);
    }
    void loseLeader() { m_groupDownUntil = m_now + milliseconds(600); }
    void loseAnswers() { m_answersLostUntil = m_now + milliseconds(600); }
    void doubleAnswers() { m_doubles = true; }

    // Lossy, delaying, doubling, reordering network.
    void transmit(const std::function<void()> &deliver)
    {
        if (chance(8))
            return;
        after(milliseconds(m_options.faults ? 60 : 5), deliver);
        if (chance(8) || m_doubles)
            after(milliseconds(2000), deliver);
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

    // Runs an action on a host unless its process has ended; a frozen one does it on waking.
    void onHost(std::size_t index, Duration most, std::function<void(Host &)> action)
    {
        const auto process = m_hosts[index].process;
        after(most, [this, index, process, action = std::move(action)] {
            auto &host = m_hosts[index];
            if (host.process != process)
                return;
            if (m_now >= host.frozenUntil) {
                action(host);
                flush(index);
                return;
            }
            const auto wait = host.frozenUntil - m_now + upTo(milliseconds(1));
            m_events.emplace(m_now + wait, [this, index, process, action] {
                if (m_hosts[index].process == process)
                    onHost(index, Duration(0), action);
            });
        });
    }

    void disturb(std::size_t index)
    {
        if (chance(2)) {
            ++m_counts.crashes;
            start(index);
        } else if (chance(3)) {
            ++m_counts.freezes;
            m_hosts[index].frozenUntil = m_now + upTo(milliseconds(3000));
        } else if (chance(2)) {
            m_groupDownUntil = m_now + upTo(milliseconds(1500));
        }
    }

    void flush(std::size_t index)
    {
        auto &host = m_hosts[index];
        auto output = host.client->takeOutput();
        for (auto &send : output.outgoingCalls)
            transmit([this, index, call = send.call] { callGroup(index, call); });
        for (auto &notice : output.notifications)
            handleNotice(index, notice);
        if (!output.notifications.empty())
            flush(index);
        scheduleTick(index);
    }

    void scheduleTick(std::size_t index)
    {
        if (keysLeft() == 0 && m_hosts[index].client->pendingCalls() == 0)
            return;
        const auto process = m_hosts[index].process;
        const auto due = std::max(m_now, m_hosts[index].client->nextDeadline());
        m_events.emplace(due, [this, index, process] {
            auto &host = m_hosts[index];
            if (host.process == process && host.client->nextDeadline() <= m_now)
                onHost(index, Duration(0), [this](Host &it) { it.client->tick(m_now); });
        });
    }

    [[nodiscard]] std::size_t keysLeft() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_keys.begin(), m_keys.end(),
                          [this](const Key &key) { return key.attempts < m_options.attempts; }));
    }

    void handleNotice(std::size_t index, const ClaimNotification &notice)
    {
        auto &host = m_hosts[index];
        const auto id = host.requestOf.at(notice.claim);
        RequestEvent event { Kind::ClaimUnconfirmed };
        if (notice.outcome) {
            event.kind = Kind::ClaimDecided;
            event.decision = notice.outcome->decision;
            reached(RequestStep::Granted);
            event.answerStored = notice.outcome->answer && notice.outcome->answer->complete;
            host.requests.at(id).kept = notice.outcome->answer;
        }
        feed(index, id, event);
    }

    void feed(std::size_t index, std::uint64_t id, const RequestEvent &event)
    {
        auto &request = m_hosts[index].requests.at(id);
        const bool ended = request.outcome.result().has_value();
        const auto actions = request.outcome.apply(event, { m_now, 1.0, m_random() });
        if (!ended && request.outcome.result())
            noteResult(request, actions);
        require(request.ends <= 1, "two ends");
        performClaim(index, id, actions);
        performTarget(index, id, actions);
    }

    void feedLater(std::size_t index, std::uint64_t id, Duration most, RequestEvent event)
    {
        event.attempt = m_hosts[index].requests.at(id).outcome.attempt();
        event.retry = static_cast<RetryPermit>(upTo(2));
        onHost(index, most, [this, index, id, event](Host &) { feed(index, id, event); });
    }

    void performClaim(std::size_t index, std::uint64_t id, const RequestActions &actions)
    {
        auto &host = m_hosts[index];
        auto &request = host.requests.at(id);
        const auto &digest = m_keys[request.key].digest;
        if (actions.requestClaim) {
            const ClaimRequest asked {
                digest, {}, request.fingerprint, m_keys[request.key].time, request.seenPosition
            };
            request.claim = host.client->claim(asked, m_now + milliseconds(800), m_now);
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
            feedLater(index, id, milliseconds(chance(10) ? 1200 : 20), event);
        }
        if (actions.connect) {
            reached(RequestStep::Connecting);
            feedLater(index, id, milliseconds(5),
                      { chance(20) ? Kind::ConnectFailed : Kind::Connected });
        }
        if (actions.send)
            sendToTarget(index, id);
    }

    // Target: executes and answers, or fails on the way.

    void sendToTarget(std::size_t index, std::uint64_t id)
    {
        const auto &request = m_hosts[index].requests.at(id);
        const auto key = request.key;
        const auto arrivedAt = request.arrivedAt;
        const auto process = m_hosts[index].process;
        disturb(index);
        reached(RequestStep::Sent);
        if (m_hosts[index].process != process)
            return;
        if (m_silent && id == 1)
            feedLater(index, id, milliseconds(500), { Kind::TargetTimedOut });
        if (chance(5)) {
            feedLater(index, id, milliseconds(50), { Kind::ConnectionReset }); // Never arrives.
            return;
        }
        if (chance(10)) {
            feedLater(index, id, milliseconds(50), { Kind::TargetRefused });
            return;
        }
        after(milliseconds(20), [this, index, id, key, arrivedAt, process] {
            if (m_now < m_targetDownUntil) {
                if (m_hosts[index].process == process)
                    feedLater(index, id, Duration(0), { Kind::ConnectionReset });
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
        require(key.executions == 1, "executed twice");
        require(arrivedAt > key.notRunAt, "executed after not run was told");
        const auto number = std::to_string(m_random());
        key.firstAnswer = StoredAnswer {
            201, { { "Order", number } }, Bytes(number.begin(), number.end()), true
        };
        reached(RequestStep::Executed);
        return *key.firstAnswer;
    }

    void answerFromTarget(std::size_t index, std::uint64_t id, const StoredAnswer &answer)
    {
        m_hosts[index].requests.at(id).answer = answer;
        const Duration slow = milliseconds(chance(20) || (m_late && id == 1) ? 1500 : 20);
        const std::pair<int, Kind> ways[] { { 10, Kind::ConnectionReset },
                                            { 10, Kind::TargetTimedOut } };
        for (const auto &[percent, kind] : ways) {
            if (chance(static_cast<std::uint64_t>(percent))) {
                feedLater(index, id, slow, { kind });
                return;
            }
        }
        feedInOrder(index, id, slow, chance(10) ? Kind::AnswerTruncated : Kind::AnswerEnded);
    }

    // One connection keeps its order: head, first byte to the caller, end.
    void feedInOrder(std::size_t index, std::uint64_t id, Duration most, Kind last)
    {
        const auto attempt = m_hosts[index].requests.at(id).outcome.attempt();
        const bool streams = m_options.scripted || m_random() % 2 == 0;
        onHost(index, most, [this, index, id, attempt, streams, last, most](Host &) {
            feedAnswer(index, id, { Kind::AnswerHeadReceived, attempt }, RequestStep::Head);
            onHost(index, streams ? most : Duration(0), [=, this](Host &) {
                if (streams)
                    feedAnswer(index, id, { Kind::AnswerForwardingStarted, attempt },
                               RequestStep::Passing);
                onHost(index, most, [=, this](Host &) {
                    const auto kind = m_cutsAnswer && id == 1 ? Kind::AnswerTruncated : last;
                    feedAnswer(index, id, { kind, attempt }, RequestStep::Ended);
                });
            });
        });
    }

    void feedAnswer(std::size_t index, std::uint64_t id, RequestEvent event, RequestStep step)
    {
        if (id == 1 && m_now < m_targetDownUntil)
            event.kind = Kind::ConnectionReset;
        if (id == 1 && m_silent)
            return;
        feed(index, id, event);
        reached(step);
    }

    // Claim group: one table behind a leader that may change.

    void callGroup(std::size_t index, const ClaimCall &call)
    {
        if (m_now < m_groupDownUntil)
            return;
        if (chance(8)) {
            answerCall(index, { call.id, ResultCode::NotLeader, upTo(3), {} });
            return;
        }
        if (chance(8)) { // Leadership is lost after the command was accepted.
            answerCall(index, { call.id, ResultCode::ChangeOutcomeUnknown, 0, {} });
            if (chance(50))
                after(milliseconds(1500), [this, call] { (void)applyCommand(call); });
            return;
        }
        if (std::holds_alternative<ClaimProbe>(call.command))
            answerCall(index, { call.id, ResultCode::Ok, 0, probedMember() });
        else
            answerCall(index, { call.id, ResultCode::Ok, 0, applyCommand(call) });
    }

    // The member that is asked may be behind.
    ClaimReply probedMember()
    {
        if (!chance(50))
            m_behind = m_machine.probeReply();
        return m_behind;
    }

    ClaimReply applyCommand(const ClaimCall &call)
    {
        if (chance(5))
            m_machine.restore(m_machine.encode());
        const auto skewed = wall() + static_cast<UnixMillis>(upTo(200)) - 100;
        const auto proposal = ClaimStateMachine::proposalOf(call.command, skewed);
        auto reply = decodeClaimReply(m_machine.apply(++m_logIndex, proposal));
        if (std::holds_alternative<ClaimRequest>(call.command))
            reached(RequestStep::Claimed);
        if (std::holds_alternative<ClaimCompletion>(call.command))
            reached(RequestStep::Completed);
        return reply;
    }

    void answerCall(std::size_t index, const ClaimCallAnswer &answer)
    {
        if (m_now < m_answersLostUntil)
            return;
        transmit([this, index, answer] {
            onHost(index, Duration(0),
                   [this, answer](Host &host) { host.client->receive(answer, m_now); });
        });
    }

    // Callers.

    void sendAttempt(std::size_t index)
    {
        auto &key = m_keys[index];
        if (key.attempts++ >= m_options.attempts)
            return;
        const auto host
            = m_options.scripted ? (key.attempts - 1) % m_hosts.size() : upTo(m_hosts.size() - 1);
        transmit([this, host, index] {
            onHost(host, Duration(0), [this, host, index](Host &) { accept(host, index); });
        });
        if (m_options.scripted) {
            m_events.emplace(m_now + std::chrono::seconds(5),
                             [this, index] { sendAttempt(index); });
            return;
        }
        // Impatient, patient, or back after the retention; not always at the same host.
        const Duration waits[] { milliseconds(50), milliseconds(3000), std::chrono::seconds(150) };
        after(waits[upTo(2)], [this, index] { sendAttempt(index); });
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
        feed(index, id, head);
        feed(index, id, { Kind::Received });
        reached(RequestStep::Arrived);
        const auto process = host.process;
        m_events.emplace(deadline, [this, index, id, process] {
            if (m_hosts[index].process == process)
                feedLater(index, id, Duration(0), { Kind::DeadlinePassed });
        });
        if (chance(10))
            feedLater(index, id, milliseconds(400), { Kind::CallerDisconnected });
        if (chance(3))
            feedLater(index, id, milliseconds(400), { Kind::HostStopping });
        disturb(index);
    }

    void noteResult(Request &request, const RequestActions &actions)
    {
        ++request.ends;
        const auto &result = *request.outcome.result();
        auto &key = m_keys[request.key];
        ++m_counts.codes[result.code];
        ++m_counts.verdicts[result.verdict];
        m_counts.told[request.number] = result.verdict;
        if (result.verdict == Verdict::NotRun) {
            require(key.executions == 0, "not run, but it ran");
            key.notRunAt = m_step;
        }
        if (result.verdict == Verdict::Done)
            require(key.executions == 1, "done, but it did not run");
        if (actions.replay) {
            ++m_counts.replays;
            require(request.kept == key.firstAnswer, "replay differs from the first answer");
        }
    }

    ClaimSimulationOptions m_options;
    std::mt19937_64 m_random;
    ClaimStateMachine m_machine;
    ClaimReply m_behind { 0, ClaimSettlement {} };
    std::vector<Key> m_keys;
    std::vector<Host> m_hosts;
    std::multimap<Instant, std::function<void()>> m_events;
    Instant m_now { std::chrono::seconds(1) };
    std::map<ScheduledFault, bool> m_struck;
    Instant m_groupDownUntil;
    Instant m_answersLostUntil;
    Instant m_targetDownUntil;
    bool m_cutsAnswer = false;
    bool m_silent = false;
    bool m_late = false;
    bool m_doubles = false;
    std::uint64_t m_step = 0;
    std::uint64_t m_nextRequest = 0;
    LogIndex m_logIndex = 0;
    ClaimSimulationCounts m_counts;
};

} // namespace ggv::test
