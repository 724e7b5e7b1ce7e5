#include <ggv/coordination/operators/status_json.hpp>

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace ggv {

namespace {

using nlohmann::json;

const char *roleName(RaftRole role)
{
    constexpr std::array<const char *, 4> Names { "learner", "follower", "candidate", "leader" };
    return Names.at(static_cast<std::size_t>(role));
}

const char *stateName(HostState state)
{
    constexpr std::array<const char *, 4> Names { "live", "leaving", "unreachable", "stopped" };
    return Names.at(static_cast<std::size_t>(state));
}

const char *healthName(HealthState health)
{
    constexpr std::array<const char *, 4> Names { "working", "suspect", "down", "leaving" };
    return Names.at(static_cast<std::size_t>(health));
}

const char *proximityName(Proximity proximity)
{
    constexpr std::array<const char *, 3> Names { "same domain", "same region", "other region" };
    return Names.at(static_cast<std::size_t>(proximity));
}

json quorumJson(const QuorumReport &quorum)
{
    return { { "group", quorum.group.empty() ? "control" : quorum.group },
             { "role", roleName(quorum.status.role) },
             { "term", quorum.status.term },
             { "leader", quorum.leader.text() },
             { "commit_index", quorum.status.commitIndex },
             { "last_index", quorum.status.lastIndex },
             { "snapshot_index", quorum.status.snapshotIndex },
             { "voters", quorum.status.voters.size() },
             { "learners", quorum.status.learners.size() } };
}

// A host that is not among the view's exceptions is live and at the view's version.
json hostJson(const EntryHost &host, const MembershipView &view)
{
    const auto it = std::find_if(view.exceptions.begin(), view.exceptions.end(),
                                 [&host](const auto &other) { return other.host == host.name; });
    const bool listed = it != view.exceptions.end();
    const RegisterVersion version = listed ? it->version : view.version;
    const bool reachable
        = !listed || it->state == HostState::Live || it->state == HostState::Leaving;
    const char *changeState = version == view.version ? "in force" : "pending";
    return { { "host", host.name.text() },
             { "failure_domain", host.domain.text() },
             { "state", stateName(listed ? it->state : HostState::Live) },
             { "version", version },
             { "change", reachable ? changeState : "unreachable" } };
}

} // namespace

json statusJson(const ControlReport &report, const Register *content)
{
    json status { { "in_force", report.inForce },         { "newest_known", report.newest },
                  { "leader", report.leader.text() },     { "leading", report.leading },
                  { "upstream", report.upstream.text() }, { "accepted", report.view.version },
                  { "bytes_sent", report.bytesSent } };
    status["quorums"] = json::array();
    for (const auto &quorum : report.quorums)
        status["quorums"].push_back(quorumJson(quorum));
    status["connected"] = json::array();
    for (const auto &host : report.connected)
        status["connected"].push_back(host.text());
    status["hosts"] = json::array();
    if (content != nullptr && report.view.term > 0) {
        for (const auto &host : content->content().hosts)
            status["hosts"].push_back(hostJson(host, report.view));
    }
    return status;
}

json faultsJson(const std::vector<RegisterFault> &faults)
{
    json list = json::array();
    for (const auto &fault : faults)
        list.push_back(
            { { "line", fault.line }, { "column", fault.column }, { "message", fault.message } });
    const auto code = ResultCode::RegisterInvalid;
    return { { "result", static_cast<int>(code) },
             { "name", resultCodeName(code) },
             { "faults", std::move(list) } };
}

json changeJson(const ChangeAnswer &answer)
{
    return { { "result", static_cast<int>(answer.code) },
             { "name", resultCodeName(answer.code) },
             { "version", answer.version },
             { "message", answer.message } };
}

json explainJson(const ServiceRoute &service)
{
    json targets = json::array();
    for (const auto &route : service.targets) {
        const auto &state = *route.state;
        targets.push_back({ { "target", route.target->name.text() },
                            { "failure_domain", route.target->domain.text() },
                            { "proximity", proximityName(route.proximity) },
                            { "health", healthName(state.health()) },
                            { "weight", state.weight() },
                            { "in_flight", state.inFlight() },
                            { "limit", state.limit(monotonicNow()) },
                            { "round_trip_us", route.roundTrip.count() },
                            { "service_time_us", state.serviceTime().count() } });
    }
    return { { "service", service.service->name.text() },
             { "queued", service.state->queued.load() },
             { "targets", std::move(targets) } };
}

} // namespace ggv
