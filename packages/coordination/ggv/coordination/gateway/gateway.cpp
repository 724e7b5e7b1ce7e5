#include <ggv/coordination/gateway/gateway.hpp>

#include <ggv/coordination/fleet/entry_link.hpp>
#include <ggv/coordination/gateway/departure_verifier.hpp>
#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/coordination/gateway/target_path_prober.hpp>
#include <ggv/coordination/gateway/target_report_exchange.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/http/http_server.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

//! Fraction of the grace time in which callers that cached this host's address are still served
//! on persistent connections.
constexpr double PersistentServiceFraction = 0.2;
//! Fraction of the grace time after which no new connections are accepted.
constexpr double AcceptFraction = 0.75;
//! Fraction of the grace time after which the process exits even if requests are still running.
constexpr double ExitFraction = 0.95;

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.maxHeaderBytes = 64 * 1024;
    limits.idleTimeout = std::chrono::minutes(3);
    limits.headerTimeout = std::chrono::seconds(10);
    return limits;
}

HttpAnswer errorAnswer(ResultCode code, const std::string &message)
{
    switch (code) {
    case ResultCode::HeaderTooLarge:
        return { 431, {}, message + "\n" };
    case ResultCode::BodyTooLarge:
        return { 413, {}, message + "\n" };
    case ResultCode::RequestTimedOut:
        return { 408, {}, message + "\n" };
    case ResultCode::Overloaded:
        return { 503, { { "Retry-After", "1" } }, message + "\n" };
    case ResultCode::MalformedRequest:
        return { 400, {}, message + "\n" };
    default:
        return { 502, {}, message + "\n" };
    }
}

Duration fractionOf(Duration total, double fraction)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(total.count()) * fraction));
}

} // namespace

class Gateway::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(IoPool &pool, GatewaySetup setup)
        : m_pool(pool)
        , m_setup(std::move(setup))
        , m_context(pool.context(0), m_setup.topology, m_setup.headers, m_setup.retryPolicy,
                    m_setup.bodyMemory)
    { }

    ~Implementation()
    {
        if (m_prober)
            m_prober->stop();
        if (m_departureVerifier)
            m_departureVerifier->stop();
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    static void logTargetChange(const TargetStatusChange &change)
    {
        logEvent(LogLevel::Info, "target-belief",
                 { { "target", change.target.instance },
                   { "service", change.target.service.text() },
                   { "address", change.target.endpoint.address },
                   { "domain", change.target.domain.text() },
                   { "belief", targetStatusName(change.status) },
                   { "source", change.source },
                   { "source_age_ms", change.age.count() / 1000 },
                   { "lasts_ms", change.statusDuration.count() / 1000 },
                   { "limit_per_s", change.requestsPerSecond } });
    }

    static void logQuarantineChange(const QuarantineChange &change)
    {
        logEvent(LogLevel::Warning,
                 change.isQuarantined ? "request-quarantined" : "request-quarantine-lifted",
                 { { "fingerprint", change.request.text() },
                   { "source", change.source },
                   { "lasts_ms", change.remaining.count() / 1000 } });
    }

    void start()
    {
        m_context.quarantine().setObserver(&Implementation::logQuarantineChange);
        m_context.targets().setObserver(&Implementation::logTargetChange);
        m_context.listAge = [this] { return m_link ? m_link->listAge() : Duration(0); };
        m_context.stateAge = [this] { return m_link ? m_link->stateAge() : Duration(0); };
        m_servers.push_back(listen(m_setup.self.service, RequestOrigin::Caller).value());
        listenForPeers();
        m_link = EntryLink::start(
            m_pool.context(0), m_setup.self, m_setup.seeds,
            { [this](const FleetFeed &feed) { apply(feed); },
              [this](std::uint64_t version, ByteView document) {
                  applyConfiguration(version, document);
              },
              [this](const TargetList &list, Duration age) { apply(list, age); },
              [this] {
                  return takeTargetReports(m_context.targets(), m_context.quarantine(),
                                           monotonicNow());
              },
              [this](const std::vector<TargetStateReport> &records) {
                  applyTargetReports(m_context.targets(), m_context.quarantine(), records,
                                     monotonicNow());
              } });
        m_prober
            = TargetPathProber::start(m_pool.context(0), m_context, [this](bool reachesTargets) {
                  m_link->setReachesTargets(reachesTargets);
              });
        m_departureVerifier = DepartureVerifier::start(m_pool.context(0), m_context);
        logEvent(LogLevel::Info, "gateway-started",
                 { { "address", m_setup.self.service.address } });
    }

    Result<std::unique_ptr<HttpServer>> listen(const Endpoint &endpoint, RequestOrigin origin)
    {
        return HttpServer::listen(
            m_pool, endpoint, callerLimits(),
            [weak = weak_from_this(), origin](ServerExchange &exchange) {
                return serve(weak.lock(), exchange, origin);
            },
            errorAnswer);
    }

    // A host that cannot serve peers still serves its callers.
    void listenForPeers()
    {
        if (m_setup.self.internal.port == 0)
            return;
        auto server = listen(m_setup.self.internal, RequestOrigin::Peer);
        if (server) {
            m_servers.push_back(std::move(server).value());
            return;
        }
        logEvent(LogLevel::Error, "forwarding-unavailable",
                 { { "address", m_setup.self.internal.address },
                   { "port", m_setup.self.internal.port },
                   { "reason", server.error().what() } });
    }

    static asio::awaitable<void> serve(std::shared_ptr<Implementation> self,
                                       ServerExchange &exchange, RequestOrigin origin)
    {
        const auto request = std::make_shared<GatewayRequest>(self->m_context, exchange, origin);
        co_await request->run();
    }

    void apply(const FleetFeed &feed)
    {
        m_context.setNewestVersion(feed.version);
        if (feed.entryHosts != m_entryHosts)
            logEvent(LogLevel::Info, "entry-hosts-changed",
                     { { "before", m_entryHosts }, { "alive", feed.entryHosts } });
        m_entryHosts = feed.entryHosts;
        m_context.setEntryHosts(feed.entryHosts);
        updatePeers(feed.forwardingPeers);
        const std::set<FailureDomainName> evacuated(feed.evacuated.begin(), feed.evacuated.end());
        if (evacuated != m_evacuated) {
            m_evacuated = evacuated;
            m_context.targets().setEvacuated(evacuated, monotonicNow());
            logEvent(LogLevel::Info, "evacuation-in-force",
                     { { "domains", evacuated.size() }, { "revision", feed.revision } });
        }
        updateReady();
    }

    void updatePeers(const std::vector<HostAnnouncement> &hosts)
    {
        if (hosts == m_peers)
            return;
        m_peers = hosts;
        std::vector<ForwardingPeer> peers;
        peers.reserve(hosts.size());
        for (const auto &it : hosts)
            peers.push_back({ it.name, it.internal, it.region });
        logEvent(LogLevel::Info, "forwarding-peers-changed", { { "peers", peers.size() } });
        m_context.setForwardingPeers(std::move(peers));
    }

    void applyConfiguration(std::uint64_t version, ByteView document)
    {
        try {
            auto routes = std::make_shared<const RouteTable>(m_setup.decodeConfiguration(document));
            logEvent(LogLevel::Info, "configuration-in-force",
                     { { "version", routes->version() },
                       { "newest_version", m_context.newestVersion() },
                       { "routes", routes->rules().routes.size() },
                       { "bytes", document.size() },
                       { "state_age_ms", m_context.stateAge().count() / 1000 } });
            m_context.setRoutes(std::move(routes));
        } catch (const Error &error) {
            logEvent(LogLevel::Error, "configuration-unreadable",
                     { { "version", version }, { "reason", error.what() } });
        }
        updateReady();
    }

    void apply(const TargetList &list, Duration age)
    {
        m_context.setTargets(list, age);
        std::size_t leaving = 0;
        for (const auto &it : list.targets)
            leaving += it.leaving ? 1 : 0;
        logEvent(LogLevel::Info, "target-list-in-force",
                 { { "targets", list.targets.size() },
                   { "leaving", leaving },
                   { "age_ms", age.count() / 1000 } });
        updateReady();
    }

    std::string metricsText()
    {
        GatewayGauges gauges;
        gauges.version = m_context.routes() ? m_context.routes()->version() : 0;
        gauges.stateAge = m_link->stateAge();
        gauges.listAge = m_link->listAge();
        gauges.ignoredLists = m_link->ignoredLists();
        gauges.entryHosts = m_entryHosts;
        const auto targets = m_context.targets().targets();
        gauges.targets = targets.size();
        for (const auto &it : targets)
            gauges.inFlight += it->inFlight();
        gauges.rateLimitedTargets = m_context.targets().rateLimitedTargets(monotonicNow());
        gauges.quarantinedRequests = m_context.quarantine().size(monotonicNow());
        gauges.ready = ready();
        gauges.reachesTargets = !m_context.targetPath().isLost();
        return m_context.metrics().text(gauges);
    }

    bool ready() const
    {
        return !m_shutdownStartedAt && m_context.routes() != nullptr && m_hasTargets;
    }

    void updateReady()
    {
        m_hasTargets = m_context.targets().hasList();
        m_link->setReady(ready());
    }

    bool continueShutdown()
    {
        const Duration passed = monotonicNow() - *m_shutdownStartedAt;
        for (const auto &it : m_servers) {
            if (passed >= fractionOf(m_setup.shutdownGrace, PersistentServiceFraction))
                it->closeAfterAnswers();
        }
        if (passed < fractionOf(m_setup.shutdownGrace, AcceptFraction))
            return false;
        std::size_t activeRequests = 0;
        for (const auto &it : m_servers) {
            it->stopAccepting();
            activeRequests += it->activeRequests();
        }
        return activeRequests == 0 || passed >= fractionOf(m_setup.shutdownGrace, ExitFraction);
    }

    IoPool &m_pool;
    GatewaySetup m_setup;
    GatewayContext m_context;
    std::vector<std::unique_ptr<HttpServer>> m_servers; //!< For callers and for peers.
    std::shared_ptr<EntryLink> m_link;
    std::shared_ptr<TargetPathProber> m_prober;
    std::shared_ptr<DepartureVerifier> m_departureVerifier;
    std::set<FailureDomainName> m_evacuated;
    std::vector<HostAnnouncement> m_peers; //!< As last named by a control host.
    std::uint32_t m_entryHosts = 1;
    bool m_hasTargets = false;
    std::optional<Instant> m_shutdownStartedAt;
};

Gateway::Gateway(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::start(IoPool &pool, GatewaySetup setup)
{
    try {
        auto implementation = std::make_shared<Implementation>(pool, std::move(setup));
        implementation->start();
        return std::unique_ptr<Gateway>(new Gateway(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

bool Gateway::ready() const { return m_implementation->ready(); }

std::string Gateway::metricsText() const { return m_implementation->metricsText(); }

void Gateway::setSeeds(std::vector<Endpoint> seeds)
{
    m_implementation->m_link->setSeeds(std::move(seeds));
}

void Gateway::beginShutdown()
{
    const Instant now = monotonicNow();
    m_implementation->m_shutdownStartedAt = now;
    m_implementation->m_context.setShutdownDeadline(
        now + fractionOf(m_implementation->m_setup.shutdownGrace, ExitFraction));
    m_implementation->m_link->setReady(false);
}

bool Gateway::continueShutdown() { return m_implementation->continueShutdown(); }

} // namespace ggv
