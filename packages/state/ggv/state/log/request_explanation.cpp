#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace ggv {

namespace {

//! Maximum time from the end of the request to failures of other requests at the same target and to
//! leader changes that count as related.
constexpr std::int64_t RelatedMs = 5000;
//! Maximum time after the end of the request at which a state of a target is still reported.
constexpr std::int64_t LaterStateMs = 15000;

//! Events that report process-wide state.
constexpr std::array ProcessStateEvents {
    "process-started",     "configuration-in-force", "target-list-in-force",
    "evacuation-in-force", "entry-hosts-changed",    "control-host-connected",
    "control-host-lost",   "shutdown-asked",         "log-lines-dropped",
};

struct Reason
{
    const char *name;
    const char *cause;
};

constexpr std::array Reasons {
    Reason { "targets-full",
             "refused: each target that may serve it had a longer queue than the remaining "
             "time allows, or had used up its cold rate" },
    Reason { "no-target-listed", "refused: the target list contains no target that may serve it" },
    Reason { "path-lost",
             "refused: this process reached no target and no peer that may serve the request" },
    Reason { "peers-unavailable",
             "refused: this process reached no target, and its peers refused the request or could "
             "not be reached" },
    Reason { "targets-unreachable", "refused: no connection to the targets that were tried" },
    Reason { "no-time-left", "refused: too little of its time was left to send it" },
    Reason { "not-executed", "refused: targets refused it and no further attempt was allowed" },
    Reason { "no-configuration",
             "refused: this process had no configuration or no target list yet" },
    Reason { "routes-outdated",
             "refused: no route matched, but a newer configuration was on its way to this process, "
             "or no control host had confirmed the state" },
    Reason { "host-leaving",
             "refused: this process was shutting down before the request could finish" },
    Reason { "no-route", "refused: no route of the configuration in force matches the request" },
    Reason { "target-lost", "failed: the target ended or garbled the exchange after it was sent" },
    Reason { "forwarding-peer-lost",
             "failed: a peer ended or garbled the exchange after it was sent" },
    Reason { "deadline-passed", "failed: the target gave no answer in the request's time" },
    Reason { "answer-cut",
             "failed: the target's response was cut off after a part had been forwarded" },
    Reason { "target-failed", "the target itself answered with a failure" },
    Reason { "target-answered", "answered by the target" },
    Reason { "target-answered-late", "answered by the target, after the latency objective" },
    Reason { "caller-gone", "abandoned: the caller disconnected before a response was available" },
};

bool isEnd(const LoggedEvent &event)
{
    return event.event == "request-answered" || event.event == "request-refused"
        || event.event == "request-failed" || event.event == "request-abandoned";
}

bool isAttemptFailure(const LoggedEvent &event)
{
    return event.event == "attempt-failed" || event.event == "target-unreachable";
}

std::string plural(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string seconds(std::int64_t millis)
{
    return std::to_string(millis / 1000) + "." + std::to_string(millis % 1000 / 100) + " s";
}

class RequestExplanationBuilder
{
public:
    explicit RequestExplanationBuilder(std::string id)
        : m_id(std::move(id))
    { }

    void addRequestLine(const LoggedEvent &event)
    {
        if (event.text("request") != m_id)
            return;
        m_explanation.lines.push_back(event);
        if (const auto target = event.text("target"); !target.empty())
            m_targets.insert(target);
    }

    //! @return False if no line mentions the request.
    bool findEnd()
    {
        auto &lines = m_explanation.lines;
        std::stable_sort(lines.begin(), lines.end(), [](const auto &one, const auto &other) {
            return std::pair(one.timeMs, one.uptimeUs) < std::pair(other.timeMs, other.uptimeUs);
        });
        for (const auto &it : lines) {
            if (isEnd(it))
                m_end = it;
        }
        if (!m_end && !lines.empty())
            m_end = lines.back();
        return m_end.has_value();
    }

    void addContext(const LoggedEvent &event)
    {
        if (event.process == m_end->process)
            trackProcess(event);
        if (event.process == m_end->process && !m_isPastEnd)
            recordProcessState(event);
        if (event.event == "configuration-ordered" && event.text("outcome") == "ok"
            && event.timeMs <= m_end->timeMs)
            m_acceptedVersion = std::max(m_acceptedVersion, event.number("version"));
        if (event.event == "leader-changed" && std::abs(event.timeMs - m_end->timeMs) <= RelatedMs)
            ++m_leaderChanges;
        if (m_targets.contains(event.text("target")))
            recordTargetState(event);
    }

    RequestExplanation build()
    {
        for (const auto &[name, event] : m_processStates)
            addState(event);
        for (const auto &[key, event] : m_targetStates)
            addState(event);
        for (const auto &[target, event] : m_laterStates)
            addState(event);
        m_explanation.cause = causeText();
        addEvidence();
        return std::move(m_explanation);
    }

private:
    // Lines of one process are passed in order; its monotonic clock may restart with the machine.
    void trackProcess(const LoggedEvent &event)
    {
        if (event.event == "process-started" && !m_isPastEnd) {
            m_processStates.clear();
            m_serviceStates.clear();
            m_targetStates.clear();
        }
        m_isPastEnd = m_isPastEnd
            || (event.event == m_end->event && event.uptimeUs == m_end->uptimeUs
                && event.text("request") == m_id);
    }

    bool isBefore(const LoggedEvent &event) const
    {
        return event.process == m_end->process ? !m_isPastEnd : event.timeMs <= m_end->timeMs;
    }

    void recordProcessState(const LoggedEvent &event)
    {
        const bool isProcessState
            = std::find(ProcessStateEvents.begin(), ProcessStateEvents.end(), event.event)
            != ProcessStateEvents.end();
        if (isProcessState)
            m_processStates[event.event] = event;
        if (event.event == "target-belief" && event.text("service") == m_end->text("service"))
            m_serviceStates[event.text("target")] = event;
    }

    void recordTargetState(const LoggedEvent &event)
    {
        const auto target = event.text("target");
        if (event.event == "target-belief") {
            if (isBefore(event) && event.process == m_end->process)
                m_targetStates[{ event.process, target }] = event;
            else if (!isBefore(event) && event.timeMs - m_end->timeMs <= LaterStateMs)
                m_laterStates.try_emplace(target, event);
        }
        const bool related = isAttemptFailure(event) && event.text("request") != m_id
            && std::abs(event.timeMs - m_end->timeMs) <= RelatedMs;
        if (related) {
            ++m_failures[target];
            m_failedAt[target].insert(event.process);
        }
    }

    void addState(const LoggedEvent &event)
    {
        const bool isOwn = event.process == m_end->process && event.uptimeUs <= m_end->uptimeUs;
        const Duration age = isOwn
            ? Duration(m_end->uptimeUs - event.uptimeUs)
            : Duration(std::chrono::milliseconds(m_end->timeMs - event.timeMs));
        m_explanation.recordedStates.push_back({ event, age });
    }

    std::string causeText() const
    {
        const auto reason = m_end->text("reason");
        for (const auto &it : Reasons) {
            if (reason == it.name)
                return it.cause;
        }
        return "no line says how it ended; the last one is " + m_end->event;
    }

    void addEvidence()
    {
        for (const auto &target : m_targets)
            addTargetEvidence(target);
        if (const auto peer = m_end->text("peer"); !peer.empty())
            addFinding("this process reached no target and forwarded the request to " + peer);
        addServiceEvidence();
        addVersionEvidence();
        if (m_leaderChanges > 0)
            addFinding("leader changes near the end of the request: "
                       + plural(m_leaderChanges, "line"));
        const auto lost = m_processStates.find("control-host-lost");
        const auto connected = m_processStates.find("control-host-connected");
        if (lost != m_processStates.end()
            && (connected == m_processStates.end()
                || connected->second.uptimeUs < lost->second.uptimeUs))
            addFinding("this process had lost its control host, with state of "
                       + seconds(lost->second.number("state_age_ms")));
    }

    void addTargetEvidence(const std::string &target)
    {
        const auto failures = m_failures.find(target);
        if (failures != m_failures.end())
            addFinding(
                plural(failures->second, "other attempt") + " failed at " + target
                + " within 5 s, from " + std::to_string(m_failedAt[target].size()) + " process(es)"
                + (m_failedAt[target].size() > 1 ? ": the target" : ": the target or the path"));
        const auto later = m_laterStates.find(target);
        if (later != m_laterStates.end())
            addFinding(target + " was " + later->second.text("belief") + " "
                       + seconds(later->second.timeMs - m_end->timeMs) + " later");
    }

    void addServiceEvidence()
    {
        std::map<std::string, std::size_t> counts;
        for (const auto &[target, event] : m_serviceStates) {
            const auto state = event.text("belief");
            const std::int64_t lasts = event.number("lasts_ms") * 1000;
            const bool expired = lasts > 0 && event.uptimeUs + lasts < m_end->uptimeUs;
            if (!expired && state != "listed" && state != "working" && state != "delisted")
                ++counts[state];
        }
        for (const auto &[state, count] : counts)
            addFinding(plural(count, "target") + " of " + m_end->text("service") + " " + state
                       + " for this process");
    }

    void addVersionEvidence()
    {
        const auto version = m_end->number("version");
        if (m_acceptedVersion > version && version > 0)
            addFinding("decided by version " + std::to_string(version) + " although version "
                       + std::to_string(m_acceptedVersion) + " had been accepted");
    }

    void addFinding(std::string text) { m_explanation.evidence.push_back(std::move(text)); }

    std::string m_id;
    RequestExplanation m_explanation;
    std::optional<LoggedEvent> m_end;
    std::set<std::string> m_targets;
    std::map<std::string, LoggedEvent> m_processStates; // Keyed by event name.
    std::map<std::pair<std::string, std::string>, LoggedEvent> m_targetStates;
    std::map<std::string, LoggedEvent> m_laterStates; // Keyed by target.
    std::map<std::string, LoggedEvent> m_serviceStates; // Keyed by target.
    std::map<std::string, std::size_t> m_failures;
    std::map<std::string, std::set<std::string>> m_failedAt;
    std::int64_t m_acceptedVersion = 0;
    std::size_t m_leaderChanges = 0;
    bool m_isPastEnd = false; //!< Whether the final line of the request was read.
};

} // namespace

RequestExplanation explainRequest(const std::string &requestId, const EventSource &source)
{
    RequestExplanationBuilder builder(requestId);
    source([&builder](const LoggedEvent &event) { builder.addRequestLine(event); });
    if (!builder.findEnd())
        return {};
    source([&builder](const LoggedEvent &event) { builder.addContext(event); });
    return builder.build();
}

} // namespace ggv
