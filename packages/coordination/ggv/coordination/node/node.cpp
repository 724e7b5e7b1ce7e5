#include <ggv/coordination/node/node.hpp>

#include <ggv/coordination/entry/entry_service.hpp>
#include <ggv/coordination/observability/metrics.hpp>
#include <ggv/coordination/observability/trace.hpp>
#include <ggv/coordination/operators/operator_api.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/model/register_toml.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

namespace {

constexpr auto TargetRefreshInterval = std::chrono::milliseconds(10);
//! Interval of rebuilding look-ups during drains, whose effect changes over time.
constexpr Duration LookupInterval = std::chrono::seconds(1);
//! Time until every entry host omits this host from its look-ups.
constexpr Duration AnnouncementTime = std::chrono::milliseconds(2500);
//! Time without active requests after which a shutdown is finished.
constexpr Duration IdleTime = std::chrono::milliseconds(1000);

std::shared_ptr<const Register> loadBootstrap(const std::string &path)
{
    const RegisterDocument document = parseRegisterToml(readTextFile(path));
    std::string faults;
    for (const auto &fault : document.faults)
        faults += path + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column)
            + ": " + fault.message + "\n";
    if (!faults.empty())
        throw Error(ResultCode::RegisterInvalid, faults);
    return std::make_shared<const Register>(Register::create(0, document.content).value());
}

} // namespace

class Node::Implementation
{
public:
    explicit Implementation(NodeSetup setup)
        : m_settings(std::move(setup.settings))
        , m_workers(m_settings.threads)
        , m_control(1)
        , m_metrics(m_settings.domain)
        , m_targetTable(m_settings.domain)
        , m_timer(m_control.context(0))
    {
        open(setup.initialize);
    }

    ~Implementation()
    {
        m_workers.stop();
        m_control.stop();
    }

    void beginShutdown()
    {
        if (m_phase != ShutdownPhase::Serving)
            return;
        logEvent(LogLevel::Info, "shutdown-begun");
        m_phase = ShutdownPhase::WaitingForLookups;
        m_shutdownAt = monotonicNow();
        m_metrics.onDrainBegin(m_shutdownAt);
        m_context.leaving = true;
        m_plane->announceLeaving();
        boost::asio::post(m_control.context(0), [this] { rebuildLookups(); });
    }

    ShutdownPhase continueShutdown()
    {
        const Instant now = monotonicNow();
        if (m_phase == ShutdownPhase::WaitingForLookups
            && now - m_shutdownAt > AnnouncementTime + LookupLifetime) {
            logEvent(LogLevel::Info, "shutdown-finishing-requests");
            m_phase = ShutdownPhase::FinishingRequests;
            m_entry->closeAfterAnswers();
            m_lastActiveAt = now;
        }
        if (m_phase == ShutdownPhase::FinishingRequests)
            finishRequests(now);
        return m_phase;
    }

private:
    void open(bool initialize)
    {
        const auto bootstrap = loadBootstrap(m_settings.bootstrapRegister);
        checkInternalAddress(*bootstrap);
        const auto process = static_cast<ProcessId>(wallClockNow()) * 1000;
        m_plane
            = ControlPlane::start(m_control.context(0),
                                  { m_settings, bootstrap, initialize, process, monotonicNow() },
                                  controlHandlers())
                  .value();
        m_context.control = m_plane.get();
        m_context.targetTable = &m_targetTable;
        m_context.metrics = &m_metrics;
        openTrace();
        m_entry = std::make_unique<EntryService>(m_workers, m_context);
        m_entry->listen(m_settings.callers, {});
        m_operators = std::make_unique<OperatorApi>(m_workers, m_settings, *m_plane, m_context);
        m_operators->listen(m_settings.operators);
        scheduleTargetRefresh();
        m_control.start();
        m_workers.start();
    }

    void openTrace()
    {
        if (m_settings.traceFile.empty())
            return;
        const auto sink = FileSpanSink::open(m_settings.traceFile).value();
        m_metrics.setSpanSink(sink);
        m_context.tracer = createTracer(sink, randomNumber());
    }

    // Checks that the internal address in the settings, on which this process listens, is the one
    // in the register, to which other hosts connect.
    void checkInternalAddress(const Register &bootstrap) const
    {
        const auto *host = bootstrap.host(m_settings.host);
        if (host != nullptr && host->internal != m_settings.internal)
            throw Error(ResultCode::SettingsInvalid,
                        "internal address in the settings differs from the register's for host '"
                            + m_settings.host.text() + "'");
    }

    ControlHandlers controlHandlers()
    {
        ControlHandlers handlers;
        handlers.onRegister = [this](std::shared_ptr<const Register> content) {
            m_register = std::move(content);
            auto view = m_targetTable.buildView(m_register, monotonicNow());
            m_metrics.attach(*view);
            m_context.view.replace(std::move(view));
            rebuildLookups();
        };
        handlers.onMembership = [this](const MembershipView &view) {
            m_membership = view;
            rebuildLookups();
        };
        handlers.takeDemands = [this] { return m_targetTable.takeDemands(monotonicNow()); };
        handlers.applyBudgets = [this](const BudgetHolder &holder, Instant now) {
            return m_targetTable.applyBudgets(holder, now);
        };
        return handlers;
    }

    void rebuildLookups()
    {
        if (!m_register)
            return;
        LookupContext view { {}, m_settings.domain, wallClockNow() };
        for (const auto &exception : m_membership.exceptions) {
            if (exception.state != HostState::Live)
                view.unavailable.push_back(exception.host);
        }
        if (m_context.leaving)
            view.unavailable.push_back(m_settings.host);
        const auto previous = m_context.lookupTable.read();
        m_context.lookupTable.replace(std::make_shared<const LookupTable>(
            LookupTable::create(*m_register, view, previous.get())));
        m_lookupsBuiltAt = monotonicNow();
    }

    void scheduleTargetRefresh()
    {
        m_timer.expires_after(TargetRefreshInterval);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            const Instant now = monotonicNow();
            m_targetTable.refresh(now, wallClockNow());
            if (m_targetTable.takeUnmetDemand())
                m_plane->requestLeaseSoon();
            const bool drains = m_register && !m_register->content().drains.empty();
            if (drains && now - m_lookupsBuiltAt > LookupInterval)
                rebuildLookups();
            scheduleTargetRefresh();
        });
    }

    void finishRequests(Instant now)
    {
        if (m_entry->activeRequests() > 0)
            m_lastActiveAt = now;
        if (now - m_lastActiveAt < IdleTime)
            return;
        logEvent(LogLevel::Info, "shutdown-finished");
        m_metrics.onDrainEnd(now);
        m_entry->stopAccepting();
        m_phase = ShutdownPhase::Finished;
    }

    Settings m_settings;
    IoPool m_workers;
    IoPool m_control;
    Metrics m_metrics;
    TargetTable m_targetTable;
    EntryContext m_context;
    std::unique_ptr<ControlPlane> m_plane;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<OperatorApi> m_operators;
    boost::asio::steady_timer m_timer;

    // Accessed on the control loop.
    std::shared_ptr<const Register> m_register;
    MembershipView m_membership;
    Instant m_lookupsBuiltAt {};

    // Accessed by the thread that calls beginShutdown() and continueShutdown().
    ShutdownPhase m_phase = ShutdownPhase::Serving;
    Instant m_shutdownAt {};
    Instant m_lastActiveAt {};
};

Node::Node(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(NodeSetup setup)
{
    try {
        auto implementation = std::make_unique<Implementation>(std::move(setup));
        return std::unique_ptr<Node>(new Node(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

void Node::beginShutdown() { m_implementation->beginShutdown(); }

ShutdownPhase Node::continueShutdown() { return m_implementation->continueShutdown(); }

} // namespace ggv
