#include <ggv/coordination/fleet/entry_link.hpp>

#include <ggv/coordination/fleet/fleet_mesh.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/protocol/codec/target_report_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

//! After a connection this long, the failure count is reset, so that the nearest control hosts are
//! tried first again.
constexpr Duration StableConnectionTime = std::chrono::seconds(5);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ReportInterval = std::chrono::milliseconds(400);
//! Time without a confirmed state after which the next control host is tried.
constexpr Duration FeedTimeout = std::chrono::milliseconds(900);

//! FeedTimeout if the control host reports that it follows no confirmed leader.
constexpr Duration BehindFeedTimeout = std::chrono::milliseconds(500);

//! FeedTimeout while a message is being received.
constexpr Duration MaxReceiveTime = std::chrono::seconds(5);

constexpr int SameDomain = 0;
constexpr int SameRegion = 1;
constexpr int OtherRegion = 2;

} // namespace

std::shared_ptr<EntryLink> EntryLink::start(boost::asio::io_context &context, HostAnnouncement self,
                                            std::vector<Endpoint> seeds, Handlers handlers)
{
    std::shared_ptr<EntryLink> link(
        new EntryLink(context, std::move(self), std::move(seeds), std::move(handlers)));
    link->tick();
    return link;
}

EntryLink::EntryLink(boost::asio::io_context &context, HostAnnouncement self,
                     std::vector<Endpoint> seeds, Handlers handlers)
    : m_context(context)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_handlers(std::move(handlers))
    , m_timer(context)
{ }

EntryLink::~EntryLink()
{
    if (m_connection)
        m_connection->close();
}

void EntryLink::setReady(bool ready)
{
    if (m_self.ready == ready)
        return;
    m_self.ready = ready;
    sendReport();
}

void EntryLink::setReachesTargets(bool reachesTargets)
{
    if (m_self.reachesTargets == reachesTargets)
        return;
    m_self.reachesTargets = reachesTargets;
    sendReport();
}

void EntryLink::setSeeds(std::vector<Endpoint> seeds) { m_seeds = std::move(seeds); }

Duration EntryLink::stateAge() const { return monotonicNow() - m_currentAt; }

Duration EntryLink::listAge() const { return m_list.age(monotonicNow()); }

void EntryLink::tick()
{
    const Instant now = monotonicNow();
    if (m_connection && now - std::max(m_confirmedAt, m_connectedAt) > feedTimeout()
        && !isReceivingState(now))
        disconnect("no confirmed state received in time");
    if (!m_connection && !m_connecting)
        connectToNext();
    if (m_connection && now - m_reportedAt >= ReportInterval)
        sendReport();
    sendStateReports();
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (self && !ec)
            self->tick();
    });
}

// A large configuration takes long on a slow or busy link; another control host would have to send
// it from the beginning.
bool EntryLink::isReceivingState(Instant now) const
{
    return !m_peerIsBehind && m_connection->isReceivingFrame()
        && now - std::max(m_confirmedAt, m_connectedAt) < MaxReceiveTime;
}

Duration EntryLink::feedTimeout() const { return m_peerIsBehind ? BehindFeedTimeout : FeedTimeout; }

int EntryLink::distance(const HostAnnouncement &host) const
{
    if (host.domain == m_self.domain)
        return SameDomain;
    return host.region == m_self.region ? SameRegion : OtherRegion;
}

std::vector<Endpoint> EntryLink::candidateEndpoints() const
{
    auto hosts = m_controlHosts;
    std::stable_sort(hosts.begin(), hosts.end(), [this](const auto &one, const auto &other) {
        return distance(one) < distance(other);
    });
    std::vector<Endpoint> endpoints;
    endpoints.reserve(hosts.size() + m_seeds.size());
    for (const auto &it : hosts)
        endpoints.push_back(it.internal);
    for (const auto &it : m_seeds) {
        if (std::find(endpoints.begin(), endpoints.end(), it) == endpoints.end())
            endpoints.push_back(it);
    }
    return endpoints;
}

void EntryLink::connectToNext()
{
    const auto endpoints = candidateEndpoints();
    if (endpoints.empty())
        return;
    // A failed control host is tried again only after all others.
    m_peer = endpoints[m_failures % endpoints.size()];
    m_connecting = true;
    m_peerIsBehind = false;
    connectFrames(
        m_context, m_peer, fleetFrameOptions(),
        [weak = weak_from_this()](std::shared_ptr<FrameConnection> connection) {
            if (const auto self = weak.lock())
                self->onConnectionOpened(std::move(connection));
        },
        [weak = weak_from_this()](ConnectFailure) {
            if (const auto self = weak.lock()) {
                self->m_connecting = false;
                ++self->m_failures;
            }
        });
}

void EntryLink::onConnectionOpened(std::shared_ptr<FrameConnection> connection)
{
    m_connecting = false;
    m_connection = std::move(connection);
    m_connectedAt = monotonicNow();
    m_notSentBefore = m_connectedAt;
    m_receivedStarts.clear();
    logEvent(LogLevel::Info, "control-host-connected",
             { { "peer", m_peer.address }, { "revision", m_revision } });
    m_connection->start(
        [weak = weak_from_this()](ByteView bytes) {
            if (const auto self = weak.lock())
                self->receive(bytes);
        },
        [weak = weak_from_this()](const Error &error) {
            if (const auto self = weak.lock())
                self->disconnect(error.what());
        });
    sendReport();
}

void EntryLink::disconnect(const char *reason)
{
    logEvent(LogLevel::Warning, "control-host-lost",
             { { "peer", m_peer.address },
               { "reason", reason },
               { "state_age_ms", stateAge().count() / 1000 } });
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    ++m_failures;
}

void EntryLink::sendReport()
{
    if (!m_connection)
        return;
    m_reportedAt = monotonicNow();
    m_connection->send(encodeFleetMessage(HostReport { m_self, m_revision, m_list.receivedDigest(),
                                                       m_document.heldVersion(),
                                                       m_reportedAt.time_since_epoch() }));
}

void EntryLink::sendStateReports()
{
    // Cleared even without a connection: reports retained until then would be outdated.
    TargetStateReports stateReports { m_handlers.takeStateReports() };
    if (m_connection && !stateReports.targets.empty())
        m_connection->send(encodeFleetMessage(stateReports));
}

void EntryLink::receive(ByteView bytes)
{
    try {
        const auto message = decodeFleetMessage(bytes);
        if (const auto *feed = std::get_if<FleetFeed>(&message))
            handle(*feed);
        else if (const auto *report = std::get_if<TargetListReport>(&message))
            handle(*report);
        else if (const auto *stateReports = std::get_if<TargetStateReports>(&message))
            handle(*stateReports);
        else if (const auto *update = std::get_if<DocumentUpdate>(&message))
            handle(*update);
    } catch (const std::exception &error) {
        disconnect(error.what());
    }
}

void EntryLink::handle(const FleetFeed &feed)
{
    m_notSentBefore = std::max(m_notSentBefore, Instant(feed.reportSentAt));
    m_peerIsBehind = !feed.current || feed.revision < m_revision;
    if (m_peerIsBehind)
        return;
    m_revision = feed.revision;
    m_confirmedAt = monotonicNow();
    m_currentAt = std::max(m_currentAt, Instant(feed.reportSentAt));
    m_controlHosts = feed.controlHosts;
    if (m_confirmedAt - m_connectedAt > StableConnectionTime)
        m_failures = 0;
    m_handlers.onFeed(feed);
}

void EntryLink::handle(const TargetListReport &report)
{
    const Instant now = monotonicNow();
    const bool hasNewContent = m_list.apply(report, m_notSentBefore, now);
    const bool hasNewStarts
        = m_list.hasReceived(report) && m_list.applyStarts(std::exchange(m_receivedStarts, {}));
    if (hasNewContent || hasNewStarts)
        m_handlers.onTargets(m_list.listWithStarts(), m_list.age(now));
    recordIgnoredList(report, report.digest != 0 && report.digest != m_list.digest());
    // The next connection begins with the digest of a list that this host does hold.
    if (!m_list.hasReceived(report))
        disconnect("the target list refers to one that is not held here");
}

void EntryLink::recordIgnoredList(const TargetListReport &report, bool isIgnored)
{
    m_ignoredLists += isIgnored ? 1 : 0;
    if (isIgnored == m_ignoresLists)
        return;
    m_ignoresLists = isIgnored;
    const Duration heldAge = m_list.age(monotonicNow());
    logEvent(isIgnored ? LogLevel::Warning : LogLevel::Info,
             isIgnored ? "target-list-ignored" : "target-list-followed-again",
             { { "peer", m_peer.address },
               { "has_content", report.targets || report.delta },
               { "age_ms", report.age.count() / 1000 },
               { "held_age_ms", heldAge.count() / 1000 } });
}

void EntryLink::handle(const TargetStateReports &reports)
{
    const auto starts = decodeTargetStarts(reports.targets);
    m_receivedStarts.insert(m_receivedStarts.end(), starts.begin(), starts.end());
    m_handlers.onStateReports(reports.targets);
}

void EntryLink::handle(const DocumentUpdate &update)
{
    if (!m_document.apply(update))
        return;
    m_handlers.onConfiguration(update.version, m_document.bytes());
    sendReport();
}

} // namespace ggv
