#include <ggv/coordination/fleet/control_host.hpp>

#include <ggv/coordination/fleet/completion_waiter.hpp>
#include <ggv/coordination/fleet/control_host_implementation.hpp>
#include <ggv/coordination/node/host_identity.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HostObservationInterval = std::chrono::milliseconds(400);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(80);
constexpr Duration ElectionTimeoutMin = std::chrono::milliseconds(300);
constexpr Duration ElectionTimeoutMax = std::chrono::milliseconds(600);
constexpr Duration CommandTimeout = std::chrono::milliseconds(2500);

} // namespace

ControlHost::Implementation::Implementation(asio::io_context &context, ControlHostSetup setup,
                                            TargetListReader &reader)
    : m_context(context)
    , m_setup(std::move(setup))
    , m_reader(reader)
    , m_timer(context)
    , m_stateMachine([this] { onStateChanged(); })
    , m_mesh(context, [this](const Endpoint &peer) { sendInitialReports(peer); })
    , m_reconciler(m_setup.toleratedFailures)
{ }

void ControlHost::Implementation::start()
{
    m_disk = openPosixDisk(m_setup.dataFolder);
    const HostName identity(m_setup.self.internal.address);
    const auto incarnation = loadIncarnation(*m_disk, identity, m_setup.initialize);
    m_setup.self.member = memberIdOf(identity, incarnation);
    m_quorum = Quorum::start(m_context, *m_disk, quorumSetup(incarnation), m_stateMachine,
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

void ControlHost::Implementation::startListPoller()
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
QuorumSetup ControlHost::Implementation::quorumSetup(std::uint64_t incarnation) const
{
    QuorumSetup setup { "fleet", "fleet-", m_setup.self.member, {}, {} };
    drawMemberOptions(setup.options);
    setup.options.heartbeatInterval = HeartbeatInterval;
    setup.options.electionTimeoutMin = ElectionTimeoutMin;
    setup.options.electionTimeoutMax = ElectionTimeoutMax;
    const auto &seeds = m_setup.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), m_setup.self.internal) != seeds.end();
    if (!isSeed || incarnation != FirstIncarnation)
        return setup;
    for (const auto &seed : seeds)
        setup.bootstrapVoters.push_back(memberIdOf(HostName(seed.address), FirstIncarnation));
    return setup;
}

void ControlHost::Implementation::tick()
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

void ControlHost::Implementation::observeSelf()
{
    m_setup.self.ready = !m_isLeaving;
    (void)m_directory.observeReport(m_setup.self, monotonicNow());
}

ControlGauges ControlHost::Implementation::gauges() const
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
        gauges.maxQueuedBytes = std::max(gauges.maxQueuedBytes, session.connection->queuedBytes());
    gauges.maxPeerQueuedBytes = m_mesh.maxQueuedBytes();
    gauges.logEntries = status.logEntries;
    gauges.logBytes = status.logBytes;
    gauges.snapshotBytes = status.snapshotBytes;
    gauges.documentBytes = m_documents.documentBytes();
    gauges.updateBytes = m_documents.updateBytes();
    gauges.allocator = allocatorUsage();
    return gauges;
}

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

void ControlHost::beginShutdown() { m_implementation->beginShutdown(); }

bool ControlHost::awaitsRemoval() const { return m_implementation->awaitsRemoval(); }

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
