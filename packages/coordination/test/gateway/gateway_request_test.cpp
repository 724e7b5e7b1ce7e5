#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <gateway/scripted_target.hpp>
#include <net/raw_socket.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>

#include <boost/asio/post.hpp>

namespace {

using ggv::GatewayContext;
using ggv::GatewayRequest;
using ggv::RequestKind;
using ggv::ServiceName;
using ggv::test::RawSocket;
using ggv::test::ScriptedAnswer;
using ggv::test::ScriptedTarget;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Seal = "Seal: s\r\n";
const std::string Id = "Id: 1\r\n";

ggv::ForwardingHeaders sampleHeaders()
{
    return { "Id", "Time-Left", "Object", "Instance", "Seal", "Not-Run", "Load" };
}

std::string answer(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + " Text\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedAnswer good(const std::string &)
{
    return { answer("200", Id + Seal, "whole"), false, false };
}
ScriptedAnswer refused(const std::string &)
{
    return { answer("503", Id + "Not-Run: 1\r\n", "full"), false, false };
}
ScriptedAnswer failing(const std::string &)
{
    return { answer("500", Id + Seal, "bad"), false, false };
}
ScriptedAnswer lost(const std::string &) { return { "", true, false }; }
ScriptedAnswer silent(const std::string &) { return { "", false, true }; }
ScriptedAnswer cut(const std::string &)
{
    return { "HTTP/1.1 200 OK\r\n" + Id + Seal + "Content-Length: 9\r\n\r\nhalf", true, false };
}
ScriptedAnswer foreign(const std::string &)
{
    return { answer("200", "Id: 2\r\n" + Seal, "of another"), false, false };
}
ScriptedAnswer unsealed(const std::string &) { return { answer("200", Id, "x"), false, false }; }
ScriptedAnswer moved(const std::string &)
{
    return { answer("421", "Instance: x\r\n", ""), false, false };
}
ScriptedAnswer busyButRan(const std::string &)
{
    return { answer("503", Id + Seal, "ran"), false, false };
}
ScriptedAnswer untilClose(const std::string &)
{
    return { "HTTP/1.1 200 OK\r\n" + Id + Seal + "\r\nuntil close", true, false };
}

//! One gateway with targets that follow scripts; the first one is the home of the only object.
class GatewayWorld
{
public:
    GatewayWorld()
        : m_context(m_pool.context(0), topology(), sampleHeaders(), { 1.0, seconds(1), 1000.0 })
    { }

    ~GatewayWorld() { m_pool.stop(); }

    void addTarget(ScriptedTarget::Script script)
    {
        m_targets.push_back(std::make_unique<ScriptedTarget>(m_pool.context(0), std::move(script)));
    }

    void addClosedTarget()
    {
        boost::asio::ip::tcp::acceptor acceptor(m_pool.context(0),
                                                { boost::asio::ip::address_v4::loopback(), 0 });
        m_closed.push_back({ "127.0.0.1", acceptor.local_endpoint().port() });
    }

    // Starts with one route that allows the given number of attempts.
    void start(RequestKind kind, std::uint32_t attempts, bool withRules = true)
    {
        m_context.setTargets(list(), ggv::Duration(0));
        if (withRules)
            m_context.setRoutes(routes(kind, attempts));
        m_server = ggv::HttpServer::listen(
                       m_pool, { "127.0.0.1", 0 }, {},
                       [this](ggv::ServerExchange &exchange) { return serve(exchange); },
                       [](ggv::ResultCode, const std::string &) {
                           return ggv::HttpAnswer { 400, {}, "" };
                       })
                       .value();
        m_pool.start();
    }

    RawSocket send(const std::string &timeLeft = "2000", const std::string &path = "/a/1")
    {
        auto socket = RawSocket::connect(m_callers, m_server->port());
        socket.send("POST " + path
                    + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nCookie: Object=7\r\nTime-Left: " + timeLeft
                    + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
        return socket;
    }

    std::string call(const std::string &timeLeft = "2000", const std::string &path = "/a/1")
    {
        auto socket = send(timeLeft, path);
        return socket.readToEnd();
    }

    void setRules(RequestKind kind)
    {
        boost::asio::post(m_pool.context(0),
                          [this, kind] { m_context.setRoutes(routes(kind, 2)); });
    }

    void endAfter(ggv::Duration time) { m_context.setEndsAt(ggv::monotonicNow() + time); }

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto &it : m_targets)
            count += it->requests().size();
        return count;
    }

    const ScriptedTarget &target(std::size_t number) const { return *m_targets[number]; }

private:
    static ggv::Topology topology()
    {
        const ggv::FailureDomainName domain("a");
        return { domain, { { domain, ggv::RegionName("north") } } };
    }

    ggv::TargetList list() const
    {
        ggv::TargetList list;
        std::vector<ggv::Endpoint> endpoints = m_closed;
        for (const auto &it : m_targets)
            endpoints.push_back(it->endpoint());
        for (std::size_t n = 0; n < endpoints.size(); ++n) {
            ggv::ListedTarget target;
            target.instance = "t" + std::to_string(n);
            target.service = ServiceName("s");
            target.endpoint = endpoints[n];
            target.domain = ggv::FailureDomainName("a");
            // The first one has room for everything, so that it is preferred.
            target.slots = n == 0 ? 1'000'000 : 1;
            list.targets.push_back(target);
        }
        return list;
    }

    static std::shared_ptr<const ggv::RouteTable> routes(RequestKind kind, std::uint32_t attempts)
    {
        ggv::Route route;
        route.name = "r";
        route.hostName = "h";
        route.pathPrefix = "/a/";
        route.kind = kind;
        route.timeout = seconds(3);
        route.latencyObjective = milliseconds(100);
        route.maxAttempts = attempts;
        route.sticky = true;
        route.services = { { ServiceName("s"), 1.0 } };
        ggv::RouteRules rules;
        rules.version = 1;
        rules.routes = { route };
        rules.services[ServiceName("s")] = {};
        return std::make_shared<const ggv::RouteTable>(ggv::RouteTable::create(rules).value());
    }

    boost::asio::awaitable<void> serve(ggv::ServerExchange &exchange)
    {
        const auto request = std::make_shared<GatewayRequest>(m_context, exchange);
        co_await request->run();
    }

    ggv::IoPool m_pool { 1 };
    GatewayContext m_context;
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
    std::vector<ggv::Endpoint> m_closed;
    std::unique_ptr<ggv::HttpServer> m_server;
    boost::asio::io_context m_callers;
};

//! A first target, a second one that works, and what the caller must get.
struct FailureCase
{
    const char *name;
    ScriptedTarget::Script first;
    RequestKind kind;
    const char *status;
    std::size_t runs; //!< Requests that reached a target.
};

const FailureCase FailureCases[] = {
    { "failure, idempotent", failing, RequestKind::Idempotent, "200", 2 },
    { "failure, once", failing, RequestKind::NonIdempotent, "500", 1 },
    { "lost, idempotent", lost, RequestKind::Idempotent, "200", 2 },
    { "lost, once", lost, RequestKind::NonIdempotent, "502", 1 },
    { "cut, idempotent", cut, RequestKind::Idempotent, "200", 2 },
    { "cut, once", cut, RequestKind::NonIdempotent, "502", 1 },
    { "refused, idempotent", refused, RequestKind::Idempotent, "200", 2 },
    { "refused, once", refused, RequestKind::NonIdempotent, "200", 2 },
    { "moved, idempotent", moved, RequestKind::Idempotent, "200", 2 },
    { "moved, once", moved, RequestKind::NonIdempotent, "200", 2 },
    { "foreign, idempotent", foreign, RequestKind::Idempotent, "200", 2 },
    { "foreign, once", foreign, RequestKind::NonIdempotent, "502", 1 },
    { "unsealed, idempotent", unsealed, RequestKind::Idempotent, "200", 2 },
    { "unsealed, once", unsealed, RequestKind::NonIdempotent, "502", 1 },
    { "busy but ran, once", busyButRan, RequestKind::NonIdempotent, "502", 1 },
    { "until close, once", untilClose, RequestKind::NonIdempotent, "200", 1 },
};

class GatewayRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayRequestTest);
    CPPUNIT_TEST(eachFailureHasItsAnswer);
    CPPUNIT_TEST(theSecondAnswerIsWhole);
    CPPUNIT_TEST(refusedEverywhereIsNotRun);
    CPPUNIT_TEST(anUnreachableTargetIsReplacedEvenForRequestsThatRunOnce);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(aSilentTargetEndsWithTheDeadline);
    CPPUNIT_TEST(theTargetGetsTheTimeThatIsLeft);
    CPPUNIT_TEST(aCallerThatLeavesEndsTheWork);
    CPPUNIT_TEST(unknownPathsAndMissingRules);
    CPPUNIT_TEST(aRequestWaitsForTheFirstRules);
    CPPUNIT_TEST(aHostThatEndsTakesOnlyWhatItCanFinish);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachFailureHasItsAnswer()
    {
        for (const auto &it : FailureCases) {
            GatewayWorld world;
            world.addTarget(it.first);
            world.addTarget(good);
            world.start(it.kind, 2);
            const auto text = world.call();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.status), text.substr(9, 3));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.runs, world.runs());
        }
    }

    void theSecondAnswerIsWhole()
    {
        GatewayWorld world;
        world.addTarget(cut);
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2);
        const auto text = world.call();
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nwhole"));
        CPPUNIT_ASSERT(text.find("half") == std::string::npos);
        CPPUNIT_ASSERT(text.find(Seal) != std::string::npos);
    }

    void refusedEverywhereIsNotRun()
    {
        GatewayWorld world;
        world.addTarget(refused);
        world.addTarget(refused);
        world.start(RequestKind::NonIdempotent, 2);
        const auto text = world.call();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text.substr(9, 3));
        CPPUNIT_ASSERT(text.find("Retry-After: 0.") != std::string::npos);
    }

    void anUnreachableTargetIsReplacedEvenForRequestsThatRunOnce()
    {
        GatewayWorld world;
        world.addClosedTarget();
        world.addTarget(good);
        world.start(RequestKind::NonIdempotent, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), world.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void attemptsAreBounded()
    {
        GatewayWorld world;
        for (int n = 0; n < 4; ++n)
            world.addTarget(failing);
        world.start(RequestKind::Idempotent, 3);
        const auto text = world.call();
        CPPUNIT_ASSERT_EQUAL(std::string("500"), text.substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, world.runs());
    }

    void aSilentTargetEndsWithTheDeadline()
    {
        GatewayWorld world;
        world.addTarget(silent);
        world.start(RequestKind::NonIdempotent, 2);
        const auto startedAt = std::chrono::steady_clock::now();
        const auto text = world.call("300");
        CPPUNIT_ASSERT_EQUAL(std::string("504"), text.substr(9, 3));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < seconds(2));
    }

    void theTargetGetsTheTimeThatIsLeft()
    {
        GatewayWorld world;
        world.addTarget(good);
        world.start(RequestKind::NonIdempotent, 2);
        (void)world.call("700");
        const auto request = world.target(0).requests().front();
        const std::string name = "Time-Left: ";
        const auto at = request.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(request.find(name, at + 1) == std::string::npos);
        const int left = std::stoi(request.substr(at + name.size()));
        CPPUNIT_ASSERT(left > 0 && left <= 700);
        CPPUNIT_ASSERT(request.find("Instance: t0\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("Id: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.ends_with("body"));
    }

    void aCallerThatLeavesEndsTheWork()
    {
        GatewayWorld world;
        world.addTarget(silent);
        world.start(RequestKind::Idempotent, 2);
        auto caller = world.send("2900");
        waitUntil([&] { return world.runs() == 1; });
        caller.close();
        waitUntil([&] { return world.target(0).peerClosed(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void unknownPathsAndMissingRules()
    {
        GatewayWorld world;
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("404"), world.call("500", "/b/1").substr(9, 3));
        GatewayWorld empty;
        empty.addTarget(good);
        empty.start(RequestKind::Idempotent, 2, false);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), empty.call().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, empty.runs());
    }

    void aRequestWaitsForTheFirstRules()
    {
        GatewayWorld world;
        world.addTarget(good);
        world.start(RequestKind::Idempotent, 2, false);
        auto caller = world.send("2900");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(!caller.hasData());
        world.setRules(RequestKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("200"), caller.readToEnd().substr(9, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.runs());
    }

    void aHostThatEndsTakesOnlyWhatItCanFinish()
    {
        GatewayWorld world;
        world.addTarget(good);
        world.endAfter(milliseconds(1500));
        world.start(RequestKind::NonIdempotent, 2);
        const auto refusal = world.call("2500");
        CPPUNIT_ASSERT_EQUAL(std::string("503"), refusal.substr(9, 3));
        CPPUNIT_ASSERT(refusal.find("Retry-After: 0.0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.runs());
        CPPUNIT_ASSERT_EQUAL(std::string("200"), world.call("500").substr(9, 3));
    }

private:
    template <typename Condition>
    static void waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(ggv::test::WaitSeconds);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(condition());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRequestTest);

} // namespace
