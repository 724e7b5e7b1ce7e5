#include <ggv/coordination/fleet/control_host.hpp>

#include <ggv/coordination/fleet/completion_waiter.hpp>
#include <ggv/coordination/fleet/control_metrics.hpp>
#include <ggv/coordination/fleet/delivery.hpp>
#include <ggv/coordination/fleet/document_history.hpp>
#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/coordination/fleet/fleet_mesh.hpp>
#include <ggv/coordination/fleet/fleet_state_machine.hpp>
#include <ggv/coordination/fleet/forwarding_peers.hpp>
#include <ggv/coordination/fleet/membership_reconciler.hpp>
#include <ggv/coordination/fleet/pause_detector.hpp>
#include <ggv/coordination/fleet/rate_limit_assignment.hpp>
#include <ggv/coordination/fleet/shared_target_list.hpp>
#include <ggv/coordination/fleet/state_freshness.hpp>
#include <ggv/coordination/fleet/target_list_poller.hpp>
#include <ggv/coordination/fleet/target_state_relay.hpp>
#include <ggv/coordination/node/host_identity.hpp>
#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HostObservationInterval = std::chrono::milliseconds(400);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(80);
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds(300);
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds(600);
constexpr Duration CommandTimeout = std::chrono::milliseconds(2500);

//! A connection opened by another host.
struct Session
{
    std::shared_ptr<FrameConnection> connection;
    std::optional<HostReport> report; //!< Latest report received.
    std::uint64_t sentRevision = 0;
    Delivery configuration; //!< By version.
    Delivery list; //!< Target list, by digest.
};

//! Number of members of the quorum.
struct MembershipSize
{
    std::size_t voters = 0;
    std::size_t learners = 0;
};

} // namespace

class ControlHost::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &context, ControlHostSetup setup, TargetListReader &reader)
        : m_context(context)
        , m_setup(std::move(setup))
        , m_reader(reader)
        , m_timer(context)
        , m_stateMachine([this] { onStateChanged(); })
        , m_mesh(context, [this](const Endpoint &peer) { sendInitialReports(peer); })
        , m_reconciler(m_setup.toleratedFailures)
    { }

    void start()
    {
        m_disk = openPosixDisk(m_setup.dataFolder);
        const HostName identity(m_setup.self.internal.address);
        const auto incarnation = loadIncarnation(*m_disk, identity, m_setup.initialize);
        m_setup.self.member = memberIdOf(identity, incarnation);
        m_quorum
            = Quorum::start(m_context, *m_disk, quorumSetup(incarnation), m_stateMachine,
                            [this](RaftMessage message) { sendRaftMessage(std::move(message)); })
                  .value();
        m_listener = std::make_unique<FrameListener>(
            m_context, m_setup.self.internal, fleetFrameOptions(),
            [weak = weak_from_this()](const std::shared_ptr<FrameConnection> &connection) {
                if (const auto self = weak.lock())
                    self->accept(connection);
            });
        m_started = true;
        m_pauses = PauseDetector(monotonicNow());
        observeSelf();
        tick();
        startListPoller();
        logEvent(LogLevel::Info, "control-host-started",
                 { { "member", m_setup.self.member },
                   { "incarnation", incarnation },
                   { "initialize", m_setup.initialize },
                   { "version", m_stateMachine.state().version } });
    }

    void startListPoller()
    {
        const auto weak = weak_from_this();
        m_listPoller = TargetListPoller::start(
            m_context, m_reader, m_list,
            { [weak] {
                 const auto self = weak.lock();
                 return self && self->m_quorum->status().role == RaftRole::Leader;
             },
              [weak] {
                  if (const auto self = weak.lock())
                      self->sendListToAll();
              } });
    }

    // Seed hosts bootstrap the quorum; all other hosts are added to it later.
    QuorumSetup quorumSetup(std::uint64_t incarnation) const
    {
        QuorumSetup setup { "fleet", "fleet-", m_setup.self.member, {}, {} };
        drawMemberOptions(setup.options);
        setup.options.heartbeatInterval = HeartbeatInterval;
        setup.options.electionTimeoutMin = ElectionTimeoutMin;
        setup.options.electionTimeoutMax = ElectionTimeoutMax;
        const auto &seeds = m_setup.seeds;
        const bool isSeed
            = std::find(seeds.begin(), seeds.end(), m_setup.self.internal) != seeds.end();
        if (!isSeed || incarnation != FirstIncarnation)
            return setup;
        for (const auto &seed : seeds)
            setup.bootstrapVoters.push_back(memberIdOf(HostName(seed.address), FirstIncarnation));
        return setup;
    }

    void tick()
    {
        const Instant now = monotonicNow();
        m_pauses.observe(now);
        observeSelf();
        observeTransfers();
        m_mesh.setPeers(peers(now));
        m_mesh.tick(now);
        if (now - m_hostObservationsSentAt >= HostObservationInterval) {
            m_hostObservationsSentAt = now;
            m_directory.expire(now);
            sendHostObservations(now);
        }
        forwardStateReports(now);
        reconcileMembers(now);
        m_timer.expires_after(TickInterval);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->tick();
        });
    }

    void observeSelf()
    {
        m_setup.self.ready = true;
        (void)m_directory.observeReport(m_setup.self, monotonicNow());
    }

    // Heartbeats wait behind a large configuration or snapshot on the same connection.
    void observeTransfers()
    {
        for (const auto &[id, session] : m_sessions) {
            if (session.report && session.connection->isReceivingFrame())
                m_quorum->observeTransfer(session.report->host.member);
        }
        const auto status = m_quorum->status();
        if (status.role != RaftRole::Leader)
            return;
        for (const auto &members : { status.voters, status.learners }) {
            for (const MemberId member : members) {
                const auto endpoint = endpointOf(member);
                if (endpoint && m_mesh.isSending(*endpoint))
                    m_quorum->observeTransfer(member);
            }
        }
    }

    std::set<Endpoint> peers(Instant now) const
    {
        std::set<Endpoint> endpoints(m_setup.seeds.begin(), m_setup.seeds.end());
        for (const auto &host : m_directory.alive(HostRole::Control, now))
            endpoints.insert(host.internal);
        for (const auto &it : m_stateMachine.state().members) {
            if (isMember(it.member))
                endpoints.insert(it.internal);
        }
        endpoints.erase(m_setup.self.internal);
        return endpoints;
    }

    bool isMember(MemberId member) const
    {
        const auto status = m_quorum->status();
        return std::find(status.voters.begin(), status.voters.end(), member) != status.voters.end()
            || std::find(status.learners.begin(), status.learners.end(), member)
            != status.learners.end();
    }

    HostReport ownReport() const
    {
        return { m_setup.self, m_stateMachine.state().revision, m_list->digest() };
    }

    void sendInitialReports(const Endpoint &peer)
    {
        m_sentDigests.erase(peer); // The peer may have restarted without the list.
        m_mesh.send(peer, ownReport());
        m_mesh.send(peer, HostObservationReport { ownHostObservations(monotonicNow()) });
        m_mesh.send(peer, m_list->report(0, monotonicNow()));
    }

    // Entry hosts attached to this host, and all control hosts so that members can find each other.
    std::vector<HostObservation> ownHostObservations(Instant now) const
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

    void sendHostObservations(Instant now)
    {
        const HostObservationReport report { ownHostObservations(now) };
        for (const auto &peer : m_mesh.connected()) {
            m_mesh.send(peer, ownReport());
            m_mesh.send(peer, report);
        }
    }

    std::optional<Endpoint> endpointOf(MemberId member) const
    {
        if (const auto seen = m_directory.findMember(member, monotonicNow()))
            return seen->host.internal;
        for (const auto &it : m_stateMachine.state().members) {
            if (it.member == member)
                return it.internal;
        }
        for (const auto &seed : m_setup.seeds) {
            if (memberIdOf(HostName(seed.address), FirstIncarnation) == member)
                return seed;
        }
        return std::nullopt;
    }

    void sendRaftMessage(RaftMessage message)
    {
        if (const auto endpoint = endpointOf(message.to))
            m_mesh.send(*endpoint, QuorumEnvelope { std::move(message) });
    }

    void accept(const std::shared_ptr<FrameConnection> &connection)
    {
        const std::uint64_t id = ++m_lastSession;
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

    void sessionClosed(std::uint64_t id, const char *reason)
    {
        const auto it = m_sessions.find(id);
        if (it == m_sessions.end())
            return;
        if (it->second.report)
            logEvent(LogLevel::Warning, "session-lost",
                     { { "host", it->second.report->host.name.text() }, { "reason", reason } });
        m_sessions.erase(it);
    }

    void receive(std::uint64_t id, ByteView bytes)
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

    void handle(Session &session, const HostReport &report)
    {
        const Instant now = monotonicNow();
        session.report = report;
        if (m_directory.observeReport(report.host, m_pauses.notSentBefore(now)))
            onHostChanged(report.host);
        session.configuration.onReport(report.version, now);
        session.list.onReport(report.listDigest, now);
        if (report.host.role == HostRole::Entry)
            sendFeed(session);
        else
            m_sentDigests[report.host.internal] = report.listDigest;
    }

    void handle(Session &, const HostObservationReport &report)
    {
        const Instant sentAt = m_pauses.notSentBefore(monotonicNow());
        for (const auto &it : report.hosts) {
            if (it.host.name != m_setup.self.name && m_directory.observeRelayed(it, sentAt))
                logHostSeen(it.host);
        }
    }

    void handle(Session &session, const QuorumEnvelope &envelope)
    {
        // Drops messages whose sender is not the member announced on this connection.
        if (session.report && session.report->host.member == envelope.message.from)
            m_quorum->receive(envelope.message);
    }

    void handle(Session &session, const TargetListReport &report)
    {
        const Instant now = monotonicNow();
        if (m_list->apply(report, m_pauses.notSentBefore(now), now))
            sendListToEntryHosts();
        // The report contains this host's digest, so that the sender sends the complete list next.
        if (session.report && !m_list->hasReceived(report))
            m_mesh.send(session.report->host.internal, ownReport());
    }

    void handle(Session &, const FleetFeed &) { }

    void handle(Session &, const DocumentUpdate &) { }

    void handle(Session &session, const TargetStateReports &reports)
    {
        const bool isEntry = session.report && session.report->host.role == HostRole::Entry;
        // Dated by reading also after a pause: a crash, a limit or a departure that is reported
        // late still counts, and would be dropped if it seemed too old.
        const Instant now = monotonicNow();
        if (isEntry)
            m_stateRelay.addFromEntry(reports.targets, now);
        else
            m_stateRelay.addFromControl(reports.targets, now);
    }

    void forwardStateReports(Instant now)
    {
        const TargetStateReports forControl { m_stateRelay.takeForControl(now) };
        if (!forControl.targets.empty())
            sendToControlHosts(forControl);
        const TargetStateReports forEntry { m_stateRelay.takeForEntry(now) };
        if (forEntry.targets.empty())
            return;
        const Bytes bytes = encodeFleetMessage(forEntry);
        const auto shares = assignRateLimits(forEntry.targets, m_directory.known(HostRole::Entry),
                                             m_list->list());
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
    void onHostChanged(const HostAnnouncement &host)
    {
        logHostSeen(host);
        if (host.role == HostRole::Control)
            m_hostObservationsSentAt = Instant(Duration(0));
        else
            sendToControlHosts(HostObservationReport { { { host, Duration(0) } } });
    }

    void sendToControlHosts(const FleetMessage &message)
    {
        for (const auto &peer : m_mesh.connected())
            m_mesh.send(peer, message);
    }

    static void logHostSeen(const HostAnnouncement &host)
    {
        logEvent(LogLevel::Info, "host-seen",
                 { { "host", host.name.text() },
                   { "address", host.service.address },
                   { "member", host.member },
                   { "ready", host.ready },
                   { "reaches_targets", host.reachesTargets } });
    }

    bool hasCurrentState() const
    {
        auto status = m_quorum->status();
        status.caughtUpAt = m_pauses.notSentBefore(status.caughtUpAt);
        return ggv::hasCurrentState(status, m_quorum->hasLeaderLease(), monotonicNow());
    }

    void sendFeed(Session &session)
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
        if (!session.report->host.reachesTargets)
            feed.forwardingPeers = selectForwardingPeers(session.report->host,
                                                         m_directory.alive(HostRole::Entry, now));
        session.sentRevision = state.revision;
        session.connection->send(encodeFleetMessage(feed));
        if (feed.current)
            sendDocument(session, now);
        sendList(session, now);
    }

    // Sends at most one update at a time: one that waited behind another would be outdated.
    void sendDocument(Session &session, Instant now)
    {
        auto &delivery = session.configuration;
        if (delivery.isInFlight() || delivery.held() >= m_documents.version())
            return;
        Bytes bytes = encodeFleetMessage(m_documents.updateFrom(delivery.held()));
        delivery.onSent(m_documents.version(), now);
        m_configurationBytes += bytes.size();
        session.connection->send(std::move(bytes));
    }

    void sendList(Session &session, Instant now)
    {
        const TargetListReport report = m_list->report(session.list.sent(), now);
        m_completeLists += report.targets ? 1 : 0;
        Bytes bytes = encodeFleetMessage(report);
        session.list.onSent(m_list->digest(), now);
        m_listBytes += bytes.size();
        session.connection->send(std::move(bytes));
    }

    void sendListToEntryHosts()
    {
        for (auto &[id, session] : m_sessions) {
            const bool isEntry = session.report && session.report->host.role == HostRole::Entry;
            if (isEntry && session.list.sent() != m_list->digest())
                sendList(session, monotonicNow());
        }
    }

    void onStateChanged()
    {
        // Also without entry hosts: they may attach later and hold an earlier version.
        m_documents.add(m_stateMachine.state().version, m_stateMachine.state().configuration);
        if (!m_started || m_feedPending)
            return;
        m_feedPending = true;
        asio::post(m_context, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->sendFeedToEntryHosts();
        });
    }

    void sendFeedToEntryHosts()
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

    void reconcileMembers(Instant now)
    {
        auto status = m_quorum->status();
        m_reconciler.observeLeader(status.leader, m_pauses.runningSince(), now);
        if (!m_quorum->hasLeaderLease())
            return;
        const MembershipSize size { status.voters.size(), status.learners.size() };
        const auto step = m_reconciler.nextStep(std::move(status), m_stateMachine.state().members,
                                                m_directory.reportingHosts(now), now);
        if (!step)
            return;
        logMembershipStep(*step, size);
        carryOut(*step);
    }

    static void logMembershipStep(const MembershipStep &step, const MembershipSize &size)
    {
        logEvent(LogLevel::Info, "membership-step",
                 { { "step", membershipStepName(step.kind) },
                   { "member", step.member },
                   { "address", step.internal.address },
                   { "voters", size.voters },
                   { "learners", size.learners } });
    }

    void carryOut(const MembershipStep &step)
    {
        switch (step.kind) {
        case MembershipStepKind::Register:
            m_quorum->propose(encodeFleetCommand(RegisterMember { step.member, step.internal }),
                              [](const Completion &) {});
            break;
        case MembershipStepKind::Add:
            m_quorum->addMember(step.member);
            break;
        case MembershipStepKind::Remove:
            m_quorum->removeMember(step.member);
            break;
        }
    }

    ControlGauges gauges() const
    {
        const Instant now = monotonicNow();
        const auto status = m_quorum->status();
        ControlGauges gauges;
        gauges.version = m_stateMachine.state().version;
        gauges.isConfirmedLeader = m_quorum->hasLeaderLease();
        gauges.term = status.term;
        gauges.isStorageFull = m_quorum->isSuspended();
        gauges.voters = status.voters.size();
        gauges.learners = status.learners.size();
        gauges.membersInContact = status.inContact.size();
        gauges.commitIndex = status.commitIndex;
        gauges.entryHosts = m_directory.alive(HostRole::Entry, now).size();
        gauges.listAge = m_list->age(now);
        gauges.listReadTime = m_listPoller->lastReadTime();
        gauges.completeLists = m_completeLists;
        gauges.configurationBytes = m_configurationBytes;
        gauges.listBytes = m_listBytes;
        for (const auto &[id, session] : m_sessions)
            gauges.maxQueuedBytes
                = std::max(gauges.maxQueuedBytes, session.connection->queuedBytes());
        gauges.maxPeerQueuedBytes = m_mesh.maxQueuedBytes();
        gauges.logEntries = status.logEntries;
        gauges.logBytes = status.logBytes;
        gauges.snapshotBytes = status.snapshotBytes;
        gauges.documentBytes = m_documents.documentBytes();
        gauges.updateBytes = m_documents.updateBytes();
        gauges.allocator = allocatorUsage();
        return gauges;
    }

    void sendListToAll()
    {
        for (const auto &peer : m_mesh.connected())
            m_mesh.send(peer,
                        m_list->report(std::exchange(m_sentDigests[peer], m_list->digest()),
                                       monotonicNow()));
        sendListToEntryHosts();
    }

    asio::io_context &m_context;
    ControlHostSetup m_setup;
    TargetListReader &m_reader;
    asio::steady_timer m_timer;
    std::unique_ptr<Disk> m_disk;
    FleetStateMachine m_stateMachine;
    FleetDirectory m_directory;
    FleetMesh m_mesh;
    MembershipReconciler m_reconciler;
    PauseDetector m_pauses { monotonicNow() };
    std::unique_ptr<Quorum> m_quorum;
    std::unique_ptr<FrameListener> m_listener;
    std::map<std::uint64_t, Session> m_sessions;
    std::uint64_t m_lastSession = 0;
    std::map<Endpoint, std::uint64_t> m_sentDigests; //!< Digest of the list last sent to or
                                                     //!< reported by each control host.
    std::shared_ptr<SharedTargetList> m_list = std::make_shared<SharedTargetList>();
    std::shared_ptr<TargetListPoller> m_listPoller;
    DocumentHistory m_documents;
    TargetStateRelay m_stateRelay;
    std::uint64_t m_configurationBytes = 0; //!< Sent to entry hosts since the start.
    std::uint64_t m_listBytes = 0; //!< Sent to entry hosts since the start.
    std::uint64_t m_completeLists = 0; //!< Sent to entry hosts since the start.
    Instant m_hostObservationsSentAt = Instant(Duration(0));
    bool m_started = false;
    bool m_feedPending = false;
};

ControlHost::ControlHost(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

ControlHost::~ControlHost() = default;

Result<std::unique_ptr<ControlHost>>
ControlHost::start(asio::io_context &context, ControlHostSetup setup, TargetListReader &reader)
{
    try {
        auto implementation = std::make_shared<Implementation>(context, std::move(setup), reader);
        implementation->start();
        return std::unique_ptr<ControlHost>(new ControlHost(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

void ControlHost::setSeeds(std::vector<Endpoint> seeds)
{
    m_implementation->m_setup.seeds = std::move(seeds);
}

asio::awaitable<CommandOutcome> ControlHost::execute(FleetCommand command)
{
    const auto self = m_implementation;
    if (self->m_quorum->status().role != RaftRole::Leader)
        co_return CommandOutcome { ResultCode::NotLeader, 0 };
    const auto waiter = CompletionWaiter::create(self->m_context, CommandTimeout);
    self->m_quorum->propose(encodeFleetCommand(command), waiter->handler());
    const auto completion = co_await waiter->wait();
    if (!completion)
        co_return CommandOutcome { ResultCode::ChangeOutcomeUnknown, 0 };
    if (completion->code != ResultCode::Ok)
        co_return CommandOutcome { completion->code, 0 };
    const auto answer = decodeFleetCommandAnswer(completion->answer);
    co_return CommandOutcome { answer.code, answer.currentVersion };
}

asio::awaitable<std::optional<FleetState>> ControlHost::confirmedState()
{
    const auto self = m_implementation;
    const auto waiter = CompletionWaiter::create(self->m_context, CommandTimeout);
    self->m_quorum->confirmRead(waiter->handler());
    const auto completion = co_await waiter->wait();
    if (!completion || completion->code != ResultCode::Ok)
        co_return std::nullopt;
    co_return self->m_stateMachine.state();
}

std::optional<Endpoint> ControlHost::remoteLeader() const
{
    const auto status = m_implementation->m_quorum->status();
    if (status.leader == 0 || status.leader == m_implementation->m_setup.self.member)
        return std::nullopt;
    const auto seen = m_implementation->m_directory.findMember(status.leader, monotonicNow());
    if (!seen || seen->age > FleetDirectory::LivenessTimeout)
        return std::nullopt;
    return seen->host.service;
}

bool ControlHost::isConfirmedLeader() const { return m_implementation->m_quorum->hasLeaderLease(); }

std::string ControlHost::metricsText() const
{
    return ggv::metricsText(m_implementation->gauges());
}

std::vector<HostAnnouncement> ControlHost::entryHosts() const
{
    return m_implementation->m_directory.alive(HostRole::Entry, monotonicNow());
}

} // namespace ggv
