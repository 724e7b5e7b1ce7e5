#pragma once

#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/coordination/gateway/target_report_exchange.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <gateway/scripted_target.hpp>
#include <net/closed_port.hpp>
#include <net/raw_socket.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>

namespace ggv::test {

inline const std::string MarkerHeader = "Seal: s\r\n";
inline const std::string IdHeader = "Id: 1\r\n";

inline ForwardingHeaders sampleHeaders()
{
    return { "Id",   "Time-Left", "Object", "Instance",    "Seal", "Not-Run",
             "Load", "Leaving",   "Limit",  "Answered-By", "Cold" };
}

inline std::string answer(const std::string &status, const std::string &headers,
                          const std::string &body)
{
    return "HTTP/1.1 " + status + " Text\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline ScriptedAnswer success(const std::string &)
{
    return { answer("200", IdHeader + MarkerHeader, "whole"), false, false };
}
inline ScriptedAnswer notExecuted(const std::string &)
{
    return { answer("503", IdHeader + "Not-Run: 1\r\n", "full"), false, false };
}
inline ScriptedAnswer serverError(const std::string &)
{
    return { answer("500", IdHeader + MarkerHeader, "bad"), false, false };
}
inline ScriptedAnswer connectionLost(const std::string &) { return { "", true, false }; }
inline ScriptedAnswer noAnswer(const std::string &) { return { "", false, true }; }
inline ScriptedAnswer truncated(const std::string &)
{
    return { "HTTP/1.1 200 OK\r\n" + IdHeader + MarkerHeader + "Content-Length: 9\r\n\r\nhalf",
             true, false };
}
inline ScriptedAnswer wrongRequestId(const std::string &)
{
    return { answer("200", "Id: 2\r\n" + MarkerHeader, "of another"), false, false };
}
inline ScriptedAnswer answerWithoutMarker(const std::string &)
{
    return { answer("200", IdHeader, "x"), false, false };
}
inline ScriptedAnswer replacedTarget(const std::string &)
{
    return { answer("421", "Instance: x\r\n", ""), false, false };
}
inline ScriptedAnswer notExecutedOfAnotherRequest(const std::string &)
{
    return { answer("503", "Id: 2\r\nNot-Run: 1\r\n", "full"), false, false };
}
inline ScriptedAnswer notExecutedWithoutId(const std::string &)
{
    return { answer("503", "Not-Run: 1\r\n", "full"), false, false };
}
inline ScriptedAnswer misdirectedOfAnotherRequest(const std::string &)
{
    return { answer("421", "Id: 2\r\nInstance: x\r\n", ""), false, false };
}
inline ScriptedAnswer leavingSuccess(const std::string &)
{
    return { answer("200", IdHeader + MarkerHeader + "Leaving: 1\r\n", "whole"), false, false };
}
inline ScriptedAnswer rejectedFor5Seconds(const std::string &)
{
    return { answer("503", IdHeader + "Not-Run: 1\r\nRetry-After: 5\r\n", ""), false, false };
}
inline ScriptedAnswer rejectedWithInvalidTime(const std::string &)
{
    return { answer("503", IdHeader + "Not-Run: 1\r\nRetry-After: -5\r\n", ""), false, false };
}
inline ScriptedAnswer rateLimitedSuccess(const std::string &)
{
    return { answer("200", IdHeader + MarkerHeader + "Limit: 2.5\r\n", "whole"), false, false };
}
inline ScriptedAnswer successWithInvalidRateLimit(const std::string &)
{
    return { answer("200", IdHeader + MarkerHeader + "Limit: -1\r\n", "whole"), false, false };
}
inline ScriptedAnswer unavailableAfterExecution(const std::string &)
{
    return { answer("503", IdHeader + MarkerHeader, "ran"), false, false };
}
inline ScriptedAnswer closeDelimited(const std::string &)
{
    return { "HTTP/1.1 200 OK\r\n" + IdHeader + MarkerHeader + "\r\nuntil close", true, false };
}

//! A gateway with scripted targets; the first target is the preferred one of the only affinity key.
class GatewayFixture
{
public:
    explicit GatewayFixture(const RetryPolicy &retryPolicy
                            = { 1.0, std::chrono::seconds(1), 1000.0 })
        : m_context(m_pool.context(0), topology(), sampleHeaders(), retryPolicy, BodyMemory)
    { }

    static constexpr std::uint64_t BodyMemory = 64;

    ~GatewayFixture() { m_pool.stop(); }

    void addTarget(ScriptedTarget::Script script, const std::string &domain = "a")
    {
        m_domains.emplace_back(domain);
        m_targets.push_back(std::make_unique<ScriptedTarget>(m_pool.context(0), std::move(script)));
    }

    void addClosedTarget() { m_closed.emplace_back(m_pool.context(0)); }

    // Must be called before start().
    void setAllowedRegions(std::vector<RegionName> regions)
    {
        m_allowedRegions = std::move(regions);
    }
    void setPeers(std::vector<ForwardingPeer> peers)
    {
        m_context.setForwardingPeers(std::move(peers));
    }
    void suspectPath()
    {
        auto &path = m_context.targetPath();
        for (std::size_t n = 0; n < TargetPathMonitor::MinFailedTargets; ++n) {
            const auto number = std::to_string(n);
            path.observeFailure("i" + number, FailureDomainName("d" + number), PathFailure::Refused,
                                monotonicNow());
        }
    }
    void losePath()
    {
        suspectPath();
        m_context.targetPath().observeProbes(false, monotonicNow());
    }

    // Starts the gateway with one route that allows the given number of attempts.
    void start(RouteKind kind, std::uint32_t attempts, bool withRoutes = true)
    {
        m_context.setTargets(list(), Duration(0));
        if (withRoutes)
            m_context.setRoutes(makeRoutes(kind, attempts));
        m_server = listen(RequestOrigin::Caller);
        m_peerServer = listen(RequestOrigin::Peer);
        m_pool.start();
    }

    // This gateway as a peer of another one.
    ForwardingPeer asPeer(const std::string &name, const std::string &region) const
    {
        return { HostName(name), { "127.0.0.1", m_peerServer->port() }, RegionName(region) };
    }

    RawSocket send(const std::string &remainingTime = "2000", const std::string &path = "/a/1",
                   const std::string &body = "body")
    {
        auto socket = RawSocket::connect(m_callers, m_server->port());
        socket.send("POST " + path
                    + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nCookie: Object=7\r\nTime-Left: "
                    + remainingTime + "\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\nConnection: close\r\n\r\n" + body);
        return socket;
    }

    std::string call(const std::string &remainingTime = "2000", const std::string &path = "/a/1")
    {
        auto socket = send(remainingTime, path);
        return socket.readToEnd();
    }

    void setRoutes(RouteKind kind)
    {
        boost::asio::post(m_pool.context(0),
                          [this, kind] { m_context.setRoutes(makeRoutes(kind, 2)); });
    }

    // Sends a request without the last bytes of its body, and waits until its head has been
    // handled.
    RawSocket sendIncomplete(const std::string &remainingTime, const std::string &bodyPart)
    {
        auto socket = RawSocket::connect(m_callers, m_server->port());
        socket.send("POST /a/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nCookie: Object=7\r\nTime-Left: "
                    + remainingTime + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
                    + bodyPart);
        while (m_server->activeRequests() == 0)
            std::this_thread::yield();
        // The handler runs until it waits for the rest of the body.
        runOnLoop([] {});
        return socket;
    }

    // Begins a shutdown while the gateway runs.
    void beginShutdown(Duration time)
    {
        runOnLoop([this, time] { shutDownAfter(time); });
    }

    template <typename Function>
    void runOnLoop(Function function)
    {
        std::promise<void> done;
        boost::asio::post(m_pool.context(0), [&] {
            function();
            done.set_value();
        });
        done.get_future().get();
    }

    void shutDownAfter(Duration time) { m_context.setShutdownDeadline(monotonicNow() + time); }

    std::vector<TargetStateReport> targetStateReports()
    {
        std::promise<std::vector<TargetStateReport>> reports;
        boost::asio::post(m_pool.context(0), [&] {
            reports.set_value(m_context.targets().takeStateReports(monotonicNow()));
        });
        return reports.get_future().get();
    }

    std::vector<TargetStateReport> takeTargetReports()
    {
        std::promise<std::vector<TargetStateReport>> records;
        boost::asio::post(m_pool.context(0), [&] {
            records.set_value(ggv::takeTargetReports(m_context.targets(), m_context.quarantine(),
                                                     monotonicNow()));
        });
        return records.get_future().get();
    }

    void applyTargetReports(const std::vector<TargetStateReport> &records)
    {
        std::promise<void> done;
        boost::asio::post(m_pool.context(0), [&] {
            ggv::applyTargetReports(m_context.targets(), m_context.quarantine(), records,
                                    monotonicNow());
            done.set_value();
        });
        done.get_future().get();
    }

    std::size_t rateLimitedTargets()
    {
        std::promise<std::size_t> count;
        boost::asio::post(m_pool.context(0), [&] {
            count.set_value(m_context.targets().rateLimitedTargets(monotonicNow()));
        });
        return count.get_future().get();
    }

    std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto &it : m_targets)
            count += it->requests().size();
        return count;
    }

    const ScriptedTarget &target(std::size_t number) const { return *m_targets[number]; }
    ScriptedTarget &target(std::size_t number) { return *m_targets[number]; }
    std::size_t targetCount() const { return m_targets.size(); }
    GatewayContext &context() { return m_context; }
    boost::asio::io_context &loop() { return m_pool.context(0); }
    //! Sets the policy of the only service; call it before start().
    void setServicePolicy(const ServicePolicy &policy) { m_servicePolicy = policy; }

private:
    static Topology topology()
    {
        const FailureDomainName domain("a");
        return { domain, { { domain, RegionName("north") } } };
    }

    TargetList list() const
    {
        TargetList list;
        std::vector<Endpoint> endpoints;
        for (const auto &it : m_closed)
            endpoints.push_back(it.endpoint());
        for (const auto &it : m_targets)
            endpoints.push_back(it->endpoint());
        for (std::size_t n = 0; n < endpoints.size(); ++n) {
            ListedTarget target;
            target.instance = "t" + std::to_string(n);
            target.service = ServiceName("s");
            target.endpoint = endpoints[n];
            target.domain
                = n < m_closed.size() ? FailureDomainName("a") : m_domains[n - m_closed.size()];
            // The first target has the most slots, so that it is preferred.
            target.slots = n == 0 ? 1'000'000 : 1;
            list.targets.push_back(target);
        }
        return list;
    }

    std::shared_ptr<const RouteTable> makeRoutes(RouteKind kind, std::uint32_t attempts) const
    {
        Route route;
        route.name = "r";
        route.hostName = "h";
        route.pathPrefix = "/a/";
        route.kind = kind;
        route.timeout = std::chrono::seconds(3);
        route.latencyObjective = std::chrono::milliseconds(100);
        route.maxAttempts = attempts;
        route.sticky = true;
        route.allowedRegions = m_allowedRegions;
        route.services = { { ServiceName("s"), 1.0 } };
        RouteRules rules;
        rules.version = 1;
        rules.routes = { route };
        rules.services[ServiceName("s")] = m_servicePolicy;
        return std::make_shared<const RouteTable>(RouteTable::create(rules).value());
    }

    std::unique_ptr<HttpServer> listen(RequestOrigin origin)
    {
        return HttpServer::listen(
                   m_pool, { "127.0.0.1", 0 }, {},
                   [this, origin](ServerExchange &exchange) { return serve(exchange, origin); },
                   [](ResultCode, const std::string &) {
                       return HttpAnswer { 400, {}, "" };
                   })
            .value();
    }

    boost::asio::awaitable<void> serve(ServerExchange &exchange, RequestOrigin origin)
    {
        const auto request = std::make_shared<GatewayRequest>(m_context, exchange, origin);
        co_await request->run();
    }

    IoPool m_pool { 1 };
    GatewayContext m_context;
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
    std::vector<FailureDomainName> m_domains; //!< Failure domain of each scripted target.
    ServicePolicy m_servicePolicy;
    std::vector<ClosedPort> m_closed;
    std::vector<RegionName> m_allowedRegions;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpServer> m_peerServer;
    boost::asio::io_context m_callers;
};

} // namespace ggv::test
