#include <ggv/coordination/fleet/control_host_implementation.hpp>
#include <ggv/coordination/fleet/forwarding_peers.hpp>
#include <ggv/coordination/fleet/state_freshness.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/protocol/codec/target_report_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <utility>

#include <boost/asio/post.hpp>

namespace ggv {

bool ControlHost::Implementation::hasCurrentState() const
{
    auto status = m_quorum->status();
    status.caughtUpAt = m_pauses.notSentBefore(status.caughtUpAt);
    return ggv::hasCurrentState(status, m_quorum->hasLeaderLease(), monotonicNow());
}

void ControlHost::Implementation::sendFeed(Session &session)
{
    const Instant now = monotonicNow();
    const auto &state = m_stateMachine.state();
    FleetFeed feed;
    feed.current = hasCurrentState() && state.version > 0;
    feed.revision = state.revision;
    feed.version = state.version;
    feed.reportSentAt = session.report->sentAt;
    feed.evacuated = state.evacuated;
    feed.entryHosts = static_cast<std::uint32_t>(m_directory.known(HostRole::Entry).size());
    feed.controlHosts = m_directory.alive(HostRole::Control, now);
    std::erase_if(feed.controlHosts, [](const HostAnnouncement &it) { return !it.ready; });
    if (!session.report->host.reachesTargets)
        feed.forwardingPeers
            = selectForwardingPeers(session.report->host, m_directory.alive(HostRole::Entry, now));
    session.sentRevision = state.revision;
    session.connection->send(encodeFleetMessage(feed));
    if (feed.current)
        sendDocument(session, now);
    sendList(session, now);
}

// Sends at most one update at a time: one that waited behind another would be outdated.
void ControlHost::Implementation::sendDocument(Session &session, Instant now)
{
    auto &delivery = session.configuration;
    if (delivery.isInFlight() || delivery.held() >= m_documents.version())
        return;
    Bytes bytes = encodeFleetMessage(m_documents.updateFrom(delivery.held()));
    delivery.onSent(m_documents.version(), now);
    m_configurationBytes += bytes.size();
    session.connection->send(std::move(bytes));
}

std::optional<TargetStateReports>
ControlHost::Implementation::takeStarts(StartsDelivery &delivery) const
{
    const auto starts = delivery.take(m_list->starts());
    if (starts.empty())
        return std::nullopt;
    return TargetStateReports { encodeTargetStarts(starts) };
}

// The starts go first, so that a restarted target is not taken for the earlier one.
void ControlHost::Implementation::sendList(Session &session, Instant now)
{
    if (const auto starts = takeStarts(session.starts)) {
        Bytes bytes = encodeFleetMessage(*starts);
        m_listBytes += bytes.size();
        session.connection->send(std::move(bytes));
    }
    const TargetListReport report = m_list->report(session.list.sent(), now);
    m_completeLists += report.targets ? 1 : 0;
    Bytes bytes = encodeFleetMessage(report);
    session.list.onSent(m_list->digest(), now);
    m_listBytes += bytes.size();
    session.connection->send(std::move(bytes));
}

void ControlHost::Implementation::sendListToEntryHosts()
{
    for (auto &[id, session] : m_sessions) {
        const bool isEntry = session.report && session.report->host.role == HostRole::Entry;
        if (isEntry && session.list.sent() != m_list->digest())
            sendList(session, monotonicNow());
    }
}

void ControlHost::Implementation::onStateChanged()
{
    // Also without entry hosts: they may attach later and hold an earlier version.
    m_documents.add(m_stateMachine.state().version, m_stateMachine.state().configuration);
    if (!m_started || m_feedPending)
        return;
    m_feedPending = true;
    boost::asio::post(m_context, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->sendFeedToEntryHosts();
    });
}

void ControlHost::Implementation::sendFeedToEntryHosts()
{
    m_feedPending = false;
    const auto &state = m_stateMachine.state();
    logEvent(LogLevel::Info, "state-applied",
             { { "version", state.version },
               { "revision", state.revision },
               { "evacuated", state.evacuated.size() } });
    for (auto &[id, session] : m_sessions) {
        if (session.report && session.report->host.role == HostRole::Entry
            && session.sentRevision != state.revision)
            sendFeed(session);
    }
}

void ControlHost::Implementation::sendListToControlHost(const Endpoint &peer)
{
    auto &delivery = m_sentStarts.try_emplace(peer, StartsDelivery::fromSecondList()).first->second;
    if (const auto starts = takeStarts(delivery))
        m_mesh.send(peer, *starts);
    m_mesh.send(
        peer, m_list->report(std::exchange(m_sentDigests[peer], m_list->digest()), monotonicNow()));
}

void ControlHost::Implementation::sendListToAll()
{
    for (const auto &peer : m_mesh.connected())
        sendListToControlHost(peer);
    sendListToEntryHosts();
}

} // namespace ggv
