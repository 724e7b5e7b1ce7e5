#include <ggv/coordination/fleet/control_host_implementation.hpp>
#include <ggv/coordination/fleet/rate_limit_assignment.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/protocol/codec/target_report_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

HostReport ControlHost::Implementation::ownReport() const
{
    return { m_setup.self, m_stateMachine.state().revision, m_list->digest() };
}

void ControlHost::Implementation::sendInitialReports(const Endpoint &peer)
{
    m_sentDigests.erase(peer); // The peer may have restarted without the list.
    m_sentStarts.erase(peer);
    m_mesh.send(peer, ownReport());
    m_mesh.send(peer, HostObservationReport { ownHostObservations(monotonicNow()) });
    m_mesh.send(peer, m_list->report(0, monotonicNow()));
}

// Entry hosts attached to this host, and all control hosts so that members can find each other.
std::vector<HostObservation> ControlHost::Implementation::ownHostObservations(Instant now) const
{
    std::set<HostName> attached;
    for (const auto &[id, session] : m_sessions) {
        if (session.report)
            attached.insert(session.report->host.name);
    }
    std::vector<HostObservation> observations;
    for (auto &it : m_directory.observations(now)) {
        const bool isAttached
            = it.host.name == m_setup.self.name || attached.contains(it.host.name);
        if (isAttached || it.host.role == HostRole::Control)
            observations.push_back(std::move(it));
    }
    return observations;
}

void ControlHost::Implementation::sendHostObservations(Instant now)
{
    const HostObservationReport report { ownHostObservations(now) };
    for (const auto &peer : m_mesh.connected()) {
        m_mesh.send(peer, ownReport());
        m_mesh.send(peer, report);
    }
}

void ControlHost::Implementation::accept(const std::shared_ptr<FrameConnection> &connection)
{
    const std::uint64_t id = ++m_lastSession;
    m_sessions[id].id = id;
    m_sessions[id].connection = connection;
    connection->start(
        [weak = weak_from_this(), id](ByteView bytes) {
            if (const auto self = weak.lock())
                self->receive(id, bytes);
        },
        [weak = weak_from_this(), id](const Error &error) {
            if (const auto self = weak.lock())
                self->sessionClosed(id, error.what());
        });
}

void ControlHost::Implementation::sessionClosed(std::uint64_t id, const char *reason)
{
    const auto it = m_sessions.find(id);
    if (it == m_sessions.end())
        return;
    if (it->second.report)
        logEvent(LogLevel::Warning, "session-lost",
                 { { "host", it->second.report->host.name.text() }, { "reason", reason } });
    m_sessions.erase(it);
}

void ControlHost::Implementation::receive(std::uint64_t id, ByteView bytes)
{
    const auto it = m_sessions.find(id);
    if (it == m_sessions.end())
        return;
    m_pauses.observe(monotonicNow());
    try {
        const auto message = decodeFleetMessage(bytes);
        std::visit([this, &it](const auto &body) { handle(it->second, body); }, message);
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "message-refused", { { "reason", error.what() } });
        it->second.connection->close();
        m_sessions.erase(id);
    }
}

void ControlHost::Implementation::handle(Session &session, const HostReport &report)
{
    const Instant now = monotonicNow();
    session.report = report;
    if (isOutdatedDeparture(session))
        return;
    if (m_directory.observeReport(report.host, m_pauses.notSentBefore(now)))
        onHostChanged(report.host);
    session.configuration.onReport(report.version, now);
    session.list.onReport(report.listDigest, now);
    if (report.host.role == HostRole::Entry)
        sendFeed(session);
    else
        m_sentDigests[report.host.internal] = report.listDigest;
}

// True if the session's host says that it stops, but has started again since: its new process has
// opened a later connection.
bool ControlHost::Implementation::isOutdatedDeparture(const Session &session) const
{
    const auto &host = session.report->host;
    if (host.role != HostRole::Control || host.ready)
        return false;
    return std::any_of(m_sessions.upper_bound(session.id), m_sessions.end(), [&](const auto &it) {
        return it.second.report && it.second.report->host.name == host.name;
    });
}

void ControlHost::Implementation::handle(Session &, const HostObservationReport &report)
{
    const Instant sentAt = m_pauses.notSentBefore(monotonicNow());
    for (const auto &it : report.hosts) {
        if (it.host.name != m_setup.self.name && m_directory.observeRelayed(it, sentAt))
            logHostSeen(it.host);
    }
}

void ControlHost::Implementation::handle(Session &session, const QuorumEnvelope &envelope)
{
    // Drops messages whose sender is not the member announced on this connection.
    if (session.report && session.report->host.member == envelope.message.from)
        m_quorum->receive(envelope.message);
}

void ControlHost::Implementation::handle(Session &session, const TargetListReport &report)
{
    const Instant now = monotonicNow();
    const bool hasNewContent = m_list->apply(report, m_pauses.notSentBefore(now), now);
    const bool hasNewStarts = m_list->hasReceived(report)
        && m_list->applyStarts(std::exchange(session.receivedStarts, {}));
    if (hasNewContent || hasNewStarts)
        sendListToEntryHosts();
    // The report contains this host's digest, so that the sender sends the complete list next.
    if (session.report && !m_list->hasReceived(report))
        m_mesh.send(session.report->host.internal, ownReport());
}

void ControlHost::Implementation::handle(Session &, const FleetFeed &) { }

void ControlHost::Implementation::handle(Session &, const DocumentUpdate &) { }

void ControlHost::Implementation::handle(Session &session, const TargetStateReports &reports)
{
    const bool isEntry = session.report && session.report->host.role == HostRole::Entry;
    if (!isEntry) {
        const auto starts = decodeTargetStarts(reports.targets);
        session.receivedStarts.insert(session.receivedStarts.end(), starts.begin(), starts.end());
    }
    // Dated by reading also after a pause: a crash, a limit or a departure that is reported
    // late still counts, and would be dropped if it seemed too old.
    const Instant now = monotonicNow();
    if (isEntry)
        m_stateRelay.addFromEntry(reports.targets, now);
    else
        m_stateRelay.addFromControl(reports.targets, now);
}

void ControlHost::Implementation::forwardStateReports(Instant now)
{
    const TargetStateReports forControl { m_stateRelay.takeForControl(now) };
    if (!forControl.targets.empty())
        sendToControlHosts(forControl);
    const TargetStateReports forEntry { m_stateRelay.takeForEntry(now) };
    if (forEntry.targets.empty())
        return;
    const Bytes bytes = encodeFleetMessage(forEntry);
    const auto shares
        = assignRateLimits(forEntry.targets, m_directory.known(HostRole::Entry), m_list->list());
    for (auto &[id, session] : m_sessions) {
        if (!session.report || session.report->host.role != HostRole::Entry)
            continue;
        session.connection->send(bytes);
        const auto own = shares.find(session.report->host.name);
        if (own != shares.end())
            session.connection->send(encodeFleetMessage(TargetStateReports { own->second }));
    }
}

// Other control hosts learn of a new or changed host at once: they may need a control host's
// vote, and name entry hosts in look-ups.
void ControlHost::Implementation::onHostChanged(const HostAnnouncement &host)
{
    logHostSeen(host);
    if (host.role == HostRole::Control)
        m_hostObservationsSentAt = Instant(Duration(0));
    else
        sendToControlHosts(HostObservationReport { { { host, Duration(0) } } });
}

void ControlHost::Implementation::sendToControlHosts(const FleetMessage &message)
{
    for (const auto &peer : m_mesh.connected())
        m_mesh.send(peer, message);
}

void ControlHost::Implementation::logHostSeen(const HostAnnouncement &host)
{
    logEvent(LogLevel::Info, "host-seen",
             { { "host", host.name.text() },
               { "address", host.service.address },
               { "member", host.member },
               { "ready", host.ready },
               { "reaches_targets", host.reachesTargets } });
}

} // namespace ggv
