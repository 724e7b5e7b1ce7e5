#include <ggv/coordination/control/control_plane.hpp>

#include <ggv/coordination/claims/claim_state_machine.hpp>
#include <ggv/coordination/claims/claimant_id.hpp>
#include <ggv/coordination/control/configuration_feed.hpp>
#include <ggv/coordination/control/configuration_state_machine.hpp>
#include <ggv/coordination/control/host_tracker.hpp>
#include <ggv/coordination/control/lease_service.hpp>
#include <ggv/coordination/control/upstream.hpp>
#include <ggv/coordination/node/host_identity.hpp>
#include <ggv/coordination/peer/peer_network.hpp>
#include <ggv/protocol/codec/change_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>
#include <ggv/state/budget/limits_from_register.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/model/register_delta.hpp>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration ViewInterval = std::chrono::milliseconds(1000);
constexpr Duration MemberInterval = std::chrono::milliseconds(1000);
constexpr Duration LeaseInterval = std::chrono::milliseconds(500);
constexpr Duration MinLeaseInterval = std::chrono::milliseconds(100);
constexpr Duration DownstreamLifetime = std::chrono::milliseconds(3000);
constexpr Duration BootstrapDeadline = std::chrono::seconds(5);

const char *const BootstrapChange = "bootstrap";

//! Schedules a periodic action: tryFire() returns true at most once per interval.
class PeriodicTrigger
{
public:
    explicit PeriodicTrigger(Duration interval)
        : m_interval(interval)
    { }

    bool tryFire(Instant now)
    {
        if (now < m_next)
            return false;
        m_next = now + m_interval;
        return true;
    }

    void makeDue() { m_next = Instant::min(); }

private:
    Duration m_interval;
    Instant m_next = Instant::min();
};

//! State of a downstream host, which uses this host as upstream.
struct Downstream
{
    RegisterVersion version = 0;
    Instant lastReportAt {};
};

} // namespace

class ControlPlane::Implementation
    : public std::enable_shared_from_this<ControlPlane::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, ControlSetup setup, ControlHandlers handlers)
        : m_context(context)
        , m_timer(context)
        , m_setup(std::move(setup))
        , m_handlers(std::move(handlers))
        , m_self(m_setup.settings.host)
    { }

    void open()
    {
        const auto &settings = m_setup.settings;
        std::uint64_t incarnation = 0;
        if (!settings.dataFolder.empty()) {
            m_disk = openPosixDisk(settings.dataFolder);
            incarnation = loadIncarnation(*m_disk, m_self, m_setup.initialize);
        }
        const auto send = [this](const HostName &host, const PeerMessage &message) {
            m_network->send(host, message);
        };
        m_quorums = std::make_unique<QuorumSet>(m_context, m_disk.get(), m_self, incarnation, send);
        m_proposer = std::make_unique<Proposer>(*m_quorums, send);
        m_claims = std::make_unique<ClaimService>(createClaimantId(), *m_quorums, send);
        m_leases = std::make_unique<LeaseService>(
            m_self, *m_quorums, send, [this](const LeaseAnswer &answer) { onLeaseAnswer(answer); });
        m_holder.emplace(createHolder());
        m_network = std::make_unique<PeerNetwork>(m_context, peerIdentity(), FrameOptions {},
                                                  peerHandlers());
        joinQuorums(*m_setup.bootstrap);
        m_claims->setGroups(m_setup.bootstrap->content().claimGroups);
        m_network->listen(settings.internal);
        logEvent(LogLevel::Info, "control-plane-started", { { "member", m_quorums->self() } });
        schedule();
    }

    void propose(const std::string &group, Bytes command, Instant deadline,
                 Proposer::OutcomeHandler onDone)
    {
        m_proposer->propose(group, votersOf(group), std::move(command), deadline,
                            std::move(onDone));
    }

    ControlReport report()
    {
        ControlReport report;
        report.newest = m_feed.newest()->version();
        report.inForce = m_published ? m_published->version() : 0;
        report.upstream = m_upstream;
        report.leader = leader();
        report.view = m_view;
        report.connected = m_network->connectedHosts();
        report.bytesSent = m_network->bytesSent();
        report.leading = m_quorums->leads(std::string(ControlGroup));
        for (const auto &group : m_quorums->groups())
            report.quorums.push_back(
                { group, m_quorums->find(group)->status(), m_quorums->leaderOf(group) });
        return report;
    }

    // Requests leases at once, but at most once per MinLeaseInterval.
    void requestLeaseSoon()
    {
        const Instant now = monotonicNow();
        if (now < m_leaseRequestedAt + MinLeaseInterval)
            return;
        m_leaseTrigger.makeDue();
        if (m_leaseTrigger.tryFire(now))
            requestLease(now);
    }

    void announceLeaving()
    {
        m_leaving = true;
        m_reportTrigger.makeDue();
    }

    boost::asio::io_context &m_context;
    std::unique_ptr<ClaimService> m_claims;

private:
    // Construction.

    BudgetHolder createHolder() const
    {
        BudgetHolderSettings settings;
        settings.host = m_self;
        settings.process = m_setup.process;
        settings.startedAt = m_setup.startedAt;
        return BudgetHolder::create(std::move(settings)).value();
    }

    PeerIdentity peerIdentity() const
    {
        return { m_self, m_setup.process, m_quorums->self(), m_setup.settings.secret };
    }

    PeerHandlers peerHandlers()
    {
        PeerHandlers handlers;
        handlers.addressOf = [this](const HostName &host) { return addressOf(host); };
        handlers.onMessage = [this](const HostName &host, PeerMessage message) {
            std::visit([&](auto &body) { receive(host, body); }, message);
        };
        handlers.onConnected = [this](const Hello &hello) { onConnected(hello); };
        handlers.onDisconnected = [this](const HostName &host) { onDisconnected(host); };
        handlers.onRefused
            = [this](const HostName &host, Instant attemptedAt) { onRefused(host, attemptedAt); };
        return handlers;
    }

    const Register &latestRegister() const
    {
        return m_feed.newest()->version() > 0 ? *m_feed.newest() : *m_setup.bootstrap;
    }

    std::optional<Endpoint> addressOf(const HostName &host) const
    {
        if (const auto *entry = latestRegister().host(host))
            return entry->internal;
        // Before a register is in force, the host may be listed only in the bootstrap register.
        if (const auto *entry = m_setup.bootstrap->host(host);
            entry != nullptr && m_feed.inForce() == nullptr)
            return entry->internal;
        return std::nullopt;
    }

    std::vector<HostName> votersOf(const std::string &group) const
    {
        if (group == ControlGroup)
            return latestRegister().content().controlVoters;
        const auto *claimGroup = latestRegister().claimGroup(ClaimGroupName(group));
        return claimGroup == nullptr ? std::vector<HostName>() : claimGroup->voters;
    }

    void joinQuorums(const Register &content)
    {
        if (!m_disk)
            return;
        const auto &voters = content.content().controlVoters;
        if (isControlVoter(content, m_self) && !m_quorums->contains(std::string(ControlGroup)))
            m_quorums->join(std::string(ControlGroup), voters, createConfigurationMachine());
        for (const auto &group : content.content().claimGroups) {
            if (std::find(group.voters.begin(), group.voters.end(), m_self) != group.voters.end())
                m_quorums->join(group.name.text(), group.voters,
                                std::make_unique<ClaimStateMachine>());
        }
    }

    std::unique_ptr<ConfigurationStateMachine> createConfigurationMachine()
    {
        auto machine = std::make_unique<ConfigurationStateMachine>(
            [this](std::shared_ptr<const Register> content, ByteView delta) {
                if (m_feed.accept(std::move(content), delta))
                    onNewRegister();
            });
        return machine;
    }

    // Connections.

    void onConnected(const Hello &hello)
    {
        m_quorums->updateMember(hello.host, hello.member);
        m_requestTrigger.makeDue();
    }

    void onDisconnected(const HostName &host)
    {
        m_downstreams.erase(host);
        if (host == m_upstream)
            m_upstream = {};
    }

    void onRefused(const HostName &host, Instant attemptedAt)
    {
        const Instant now = monotonicNow();
        m_tracker.recordConnectionRefused(host, now);
        m_leases->recordStopped(host, attemptedAt, now);
    }

    // Messages from other hosts.

    void receive(const HostName &, const Hello &) { }
    void receive(const HostName &, const HelloProof &) { }

    void receive(const HostName &host, const GroupMessage &message)
    {
        m_quorums->receive(host, message);
    }

    void receive(const HostName &host, const ProposeCall &call) { m_proposer->receive(host, call); }

    void receive(const HostName &, const ProposeAnswer &answer) { m_proposer->receive(answer); }

    void receive(const HostName &host, const ConfigurationRequest &request)
    {
        auto &downstream = m_downstreams[host];
        downstream = { request.version, monotonicNow() };
        sendUpdateTo(host, downstream);
    }

    void receive(const HostName &, const ConfigurationUpdate &update)
    {
        if (m_feed.accept(update))
            onNewRegister();
        else if (update.to > m_feed.newest()->version())
            m_requestTrigger.makeDue();
    }

    void receive(const HostName &host, const HostStatusReports &reports)
    {
        const Instant now = monotonicNow();
        if (const auto it = m_downstreams.find(host); it != m_downstreams.end())
            it->second.lastReportAt = now;
        for (const auto &report : reports.reports)
            m_tracker.observe(report, now);
    }

    void receive(const HostName &, const MembershipView &view)
    {
        if (std::pair(view.term, view.sequence) <= std::pair(m_view.term, m_view.sequence))
            return;
        applyView(view);
    }

    void receive(const HostName &host, const LeaseCall &call)
    {
        m_leases->receive(host, call, m_upstream, m_feed.newest()->version());
    }

    void receive(const HostName &, const LeaseAnswer &answer) { m_leases->receive(answer); }

    void receive(const HostName &host, const ClaimGroupCall &call)
    {
        m_claims->receive(host, call);
    }

    void receive(const HostName &, const ClaimGroupAnswer &answer) { m_claims->receive(answer); }

    // Register distribution.

    void onNewRegister()
    {
        joinQuorums(*m_feed.newest());
        m_claims->setGroups(m_feed.newest()->content().claimGroups);
        m_leases->setLimits(limitsFromRegister(*m_feed.newest()));
        publish();
        for (auto &[host, downstream] : m_downstreams)
            sendUpdateTo(host, downstream);
        m_reportTrigger.makeDue();
    }

    void publish()
    {
        auto content = m_feed.inForce();
        if (!content || (m_published && m_published->version() == content->version()))
            return;
        m_published = std::move(content);
        logEvent(LogLevel::Info, "register-in-force", { { "version", m_published->version() } });
        m_holder->applyRegister(m_published->version(),
                                limitsFromRegister(*m_published).fixedOf(m_self));
        m_handlers.onRegister(m_published);
    }

    void sendUpdateTo(const HostName &host, Downstream &downstream)
    {
        auto update = m_feed.updateFor(downstream.version);
        if (!update)
            return;
        downstream.version = update->to;
        m_network->send(host, std::move(*update));
    }

    // Leases.

    void requestLease(Instant now)
    {
        m_leaseRequestedAt = now;
        const auto request = m_holder->request(m_handlers.takeDemands(), now);
        if (m_handlers.applyBudgets(*m_holder, now))
            m_leases->receive(m_self, { request, 0 }, m_upstream, m_feed.newest()->version());
    }

    void onLeaseAnswer(const LeaseAnswer &answer)
    {
        const Instant now = monotonicNow();
        if (!m_holder->accept(answer.grant, now))
            return;
        m_feed.confirm(answer.version);
        publish();
        m_handlers.applyBudgets(*m_holder, now);
    }

    // Periodic work.

    void schedule()
    {
        m_timer.expires_after(TickInterval);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (ec || !self)
                return;
            self->tick(monotonicNow());
            self->schedule();
        });
    }

    void tick(Instant now)
    {
        m_proposer->tick(now);
        m_claims->tick(now);
        std::erase_if(m_downstreams, [now](const auto &it) {
            return now - it.second.lastReportAt > DownstreamLifetime;
        });
        if (m_quorums->leads(std::string(ControlGroup)))
            runAsLeader(now);
        else
            runAsFollower(now);
        connectQuorumMembers();
        if (m_leaseTrigger.tryFire(now))
            requestLease(now);
    }

    void runAsLeader(Instant now)
    {
        const RaftStatus status = m_quorums->find(std::string(ControlGroup))->status();
        m_upstream = {};
        if (status.term != m_leaderTerm) {
            m_leaderTerm = status.term;
            m_viewSequence = 0;
            m_tracker.clear(now);
        }
        m_tracker.observe(ownReport(), now);
        if (m_feed.newest()->version() == 0)
            proposeBootstrap(now);
        probeHostsAndReconcileMembers(now);
        const auto exceptions = m_tracker.exceptions(latestRegister(), now);
        if (m_viewTrigger.tryFire(now) || exceptions != m_view.exceptions)
            applyView(
                { m_leaderTerm, ++m_viewSequence, m_feed.newest()->version(), m_self, exceptions });
    }

    // The control leader connects to hosts without recent reports: a refused connection shows that
    // the host's process has stopped. Also reconciles the members of all quorums.
    void probeHostsAndReconcileMembers(Instant now)
    {
        if (!m_memberTrigger.tryFire(now))
            return;
        for (const auto &exception : m_tracker.exceptions(latestRegister(), now)) {
            if (exception.state == HostState::Unreachable || exception.state == HostState::Stopped)
                m_network->connect(exception.host);
        }
        for (const auto &group : m_quorums->groups())
            m_quorums->reconcileMembers(group, votersOf(group));
    }

    void applyView(MembershipView view)
    {
        m_view = std::move(view);
        for (const auto &[host, downstream] : m_downstreams)
            m_network->send(host, m_view);
        m_handlers.onMembership(m_view);
    }

    void runAsFollower(Instant now)
    {
        selectUpstream();
        if (m_upstream.empty())
            return;
        if (m_requestTrigger.tryFire(now))
            m_network->send(m_upstream, ConfigurationRequest { m_feed.newest()->version() });
        if (!m_reportTrigger.tryFire(now))
            return;
        m_tracker.observe(ownReport(), now);
        m_network->send(m_upstream, HostStatusReports { m_tracker.reportsSince(m_lastReport) });
        m_lastReport = now;
    }

    // Selects the first connected candidate as upstream and keeps connecting to preferred ones.
    void selectUpstream()
    {
        for (const auto &candidate : upstreamCandidates(latestRegister(), m_self, leader())) {
            if (m_network->isConnected(candidate)) {
                if (candidate != m_upstream) {
                    m_upstream = candidate;
                    m_requestTrigger.makeDue();
                    m_reportTrigger.makeDue();
                }
                return;
            }
            m_network->connect(candidate);
        }
        m_upstream = {};
    }

    // Members of a quorum stay connected to learn each other's member id, which changes when a host
    // loses its disk.
    void connectQuorumMembers()
    {
        for (const auto &group : m_quorums->groups()) {
            for (const auto &host : votersOf(group))
                m_network->connect(host);
        }
        // Connects to all claim groups in advance, so that claims do not wait for a connection.
        for (const auto &group : latestRegister().content().claimGroups) {
            for (const auto &host : group.voters)
                m_network->connect(host);
        }
    }

    HostStatusReport ownReport()
    {
        return { m_self, m_setup.process, ++m_reportSequence,
                 m_published ? m_published->version() : 0, m_leaving };
    }

    HostName leader()
    {
        const HostName known = m_quorums->leaderOf(std::string(ControlGroup));
        return known.empty() ? m_view.leader : known;
    }

    void proposeBootstrap(Instant now)
    {
        if (std::exchange(m_bootstrapProposed, true))
            return;
        const auto target = Register::create(1, m_setup.bootstrap->content()).value();
        const ChangeCommand command { ChangeId(BootstrapChange), m_self.text(), 0, 0,
                                      encodeDelta(diffRegisters(Register(), target)) };
        propose(std::string(ControlGroup), encodeChangeCommand(command), now + BootstrapDeadline,
                [this](const ProposalOutcome &) { m_bootstrapProposed = false; });
    }

    boost::asio::steady_timer m_timer;
    ControlSetup m_setup;
    ControlHandlers m_handlers;
    HostName m_self;
    std::unique_ptr<Disk> m_disk;
    std::unique_ptr<PeerNetwork> m_network;
    std::unique_ptr<QuorumSet> m_quorums;
    std::unique_ptr<Proposer> m_proposer;
    std::unique_ptr<LeaseService> m_leases;
    std::optional<BudgetHolder> m_holder;
    ConfigurationFeed m_feed;
    std::shared_ptr<const Register> m_published;
    HostTracker m_tracker;
    std::map<HostName, Downstream> m_downstreams;
    MembershipView m_view;
    HostName m_upstream;
    PeriodicTrigger m_reportTrigger { ReportInterval };
    PeriodicTrigger m_requestTrigger { ReportInterval };
    PeriodicTrigger m_viewTrigger { ViewInterval };
    PeriodicTrigger m_memberTrigger { MemberInterval };
    PeriodicTrigger m_leaseTrigger { LeaseInterval };
    Instant m_lastReport = Instant::min();
    Instant m_leaseRequestedAt = Instant::min();
    Term m_leaderTerm = 0;
    std::uint64_t m_viewSequence = 0;
    std::uint64_t m_reportSequence = 0;
    bool m_bootstrapProposed = false;
    bool m_leaving = false;
};

ControlPlane::ControlPlane(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

ControlPlane::~ControlPlane() = default;

Result<std::unique_ptr<ControlPlane>>
ControlPlane::start(boost::asio::io_context &context, ControlSetup setup, ControlHandlers handlers)
{
    try {
        auto implementation
            = std::make_shared<Implementation>(context, std::move(setup), std::move(handlers));
        implementation->open();
        return std::unique_ptr<ControlPlane>(new ControlPlane(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

void ControlPlane::propose(const std::string &group, Bytes command, Instant deadline,
                           Proposer::OutcomeHandler onDone)
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation, group, command = std::move(command),
                       deadline, onDone = std::move(onDone)]() mutable {
                          implementation->propose(group, std::move(command), deadline,
                                                  std::move(onDone));
                      });
}

void ControlPlane::claim(const std::string &group, const ClaimRequest &request, Instant deadline,
                         ClaimService::OutcomeHandler onOutcome)
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation, group, request, deadline,
                       onOutcome = std::move(onOutcome)]() mutable {
                          implementation->m_claims->claim(group, request, deadline,
                                                          std::move(onOutcome));
                      });
}

void ControlPlane::releaseClaim(const std::string &group, const ClaimRelease &release)
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation, group, release] {
                          implementation->m_claims->release(group, release);
                      });
}

void ControlPlane::completeClaim(const std::string &group, ClaimCompletion completion)
{
    boost::asio::post(
        m_implementation->m_context,
        [implementation = m_implementation, group, completion = std::move(completion)]() mutable {
            implementation->m_claims->complete(group, std::move(completion));
        });
}

std::uint64_t ControlPlane::seenPosition(const std::string &group) const
{
    return m_implementation->m_claims->seenPosition(group);
}

void ControlPlane::announceLeaving()
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation] { implementation->announceLeaving(); });
}

void ControlPlane::requestLeaseSoon()
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation] { implementation->requestLeaseSoon(); });
}

void ControlPlane::inspect(std::function<void(const ControlReport &)> onReport)
{
    boost::asio::post(m_implementation->m_context,
                      [implementation = m_implementation, onReport = std::move(onReport)] {
                          onReport(implementation->report());
                      });
}

} // namespace ggv
