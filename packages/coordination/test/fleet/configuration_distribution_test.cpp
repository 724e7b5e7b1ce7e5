#include <fleet/throttled_proxy.hpp>
#include <net/raw_socket.hpp>

#include <ggv/coordination/fleet/control_host.hpp>
#include <ggv/coordination/fleet/target_list_reader.hpp>
#include <ggv/coordination/gateway/gateway.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <future>
#include <random>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace {

using namespace ggv::test;
using ggv::Bytes;
using ggv::CommandOutcome;
using ggv::ControlHost;
using ggv::Duration;
using ggv::Endpoint;
using ggv::Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Time in which an accepted configuration must be in force at each entry host.
constexpr Duration ApplyTime = milliseconds(2500);
//! Half of a link of 2 Mbit/s; callers' requests need the rest.
constexpr std::size_t LinkBytesPerSecond = 125'000;
constexpr std::size_t SlowLinkBytesPerSecond = 10'000;
constexpr int ManyRoutes = 1400;
constexpr double MaxBytesOfOneChange = 2000;

class OneTarget : public ggv::TargetListReader
{
public:
    boost::asio::awaitable<std::vector<ggv::ListedTarget>> read() override
    {
        ggv::ListedTarget target;
        target.instance = "t";
        target.service = ggv::ServiceName("s");
        target.endpoint = { "127.0.0.1", 1 };
        target.domain = ggv::FailureDomainName("a");
        target.slots = 1;
        co_return std::vector { target };
    }
};

std::string routePrefix(int number)
{
    return "/p" + std::to_string(static_cast<std::uint64_t>(number) * 2'654'435'761U % 1'000'003U)
        + "/";
}

// One route a line, as long as in an operators' JSON document. Random names keep it from being
// compressed to almost nothing.
Bytes document(std::uint64_t version, int routes, int weight)
{
    constexpr int RandomWords = 8;
    std::mt19937_64 random(20261204);
    std::ostringstream text;
    text << version << " " << weight << "\n";
    for (int n = 0; n < routes; ++n) {
        text << routePrefix(n) << " ";
        for (int word = 0; word < RandomWords; ++word)
            text << std::hex << random();
        text << R"({"kind":"non_idempotent","timeout":"3000ms","service":"s"})"
             << "\n";
    }
    const std::string bytes = text.str();
    return { bytes.begin(), bytes.end() };
}

ggv::RouteTable decodeDocument(ggv::ByteView bytes)
{
    std::istringstream text(std::string(bytes.begin(), bytes.end()));
    ggv::RouteRules rules;
    std::string line;
    std::getline(text, line);
    rules.version = std::stoull(line);
    while (std::getline(text, line)) {
        ggv::Route route;
        route.name = line.substr(0, line.find(' '));
        route.hostName = "h";
        route.pathPrefix = route.name;
        route.timeout = seconds(3);
        route.latencyObjective = milliseconds(100);
        route.services = { { ggv::ServiceName("s"), 1.0 } };
        rules.routes.push_back(route);
    }
    rules.services[ggv::ServiceName("s")] = {};
    return ggv::RouteTable::create(rules).value();
}

class ConfigurationDistributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationDistributionTest);
    CPPUNIT_TEST(changeBehindLargeOneIsInForceInTime);
    CPPUNIT_TEST(acceptedRouteIsNotRefusedBeforeItArrives);
    CPPUNIT_TEST(requestIsServedOnceItsRouteArrives);
    CPPUNIT_TEST(slowReceiverSkipsVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "ggv-feed-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_folder = name;
        m_pool = std::make_unique<ggv::IoPool>(1);
        m_callers = freeEndpoint();
        const Endpoint control = freeEndpoint();
        m_proxy = std::make_unique<ThrottledProxy>(m_pool->context(0), control, LinkBytesPerSecond);
        startControlHost(control);
        startGateway();
        m_pool->start();
        waitForLeader();
        change(document(1, 1, 1), 1, 0);
        CPPUNIT_ASSERT(waitForVersion(1, seconds(10)));
    }

    void tearDown() override
    {
        m_pool->stop();
        m_gateway.reset();
        m_proxy.reset();
        m_control.reset();
        m_pool.reset();
        std::filesystem::remove_all(m_folder);
    }

    // 1,400 routes, then new weights as soon as they are accepted, over a slow link.
    void changeBehindLargeOneIsInForceInTime()
    {
        change(document(2, ManyRoutes, 1), 2, 1);
        change(document(3, ManyRoutes, 2), 3, 2);
        CPPUNIT_ASSERT(waitForVersion(3, ApplyTime));
    }

    // The route's version has been accepted but takes seconds on the way to the entry host.
    void acceptedRouteIsNotRefusedBeforeItArrives()
    {
        onLoop([this] { m_proxy->setRate(SlowLinkBytesPerSecond); });
        change(document(2, ManyRoutes, 1), 2, 1);
        std::this_thread::sleep_for(milliseconds(300));
        const std::string answer = call(routePrefix(ManyRoutes - 1));
        CPPUNIT_ASSERT(waitForVersion(1, seconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
        CPPUNIT_ASSERT(answer.find("Retry-After") != std::string::npos);
    }

    // The request waits for the document and then finds its route; the target does not exist.
    void requestIsServedOnceItsRouteArrives()
    {
        onLoop([this] { m_proxy->setRate(LinkBytesPerSecond * 2); });
        change(document(2, ManyRoutes, 1), 2, 1);
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(!waitForVersion(2, seconds(0)));
        const std::string answer = call(routePrefix(ManyRoutes - 1));
        CPPUNIT_ASSERT(waitForVersion(2, seconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
    }

    // Twenty changes while the first document is on its way: one more update, not twenty.
    void slowReceiverSkipsVersions()
    {
        constexpr std::uint64_t Changes = 20;
        change(document(2, ManyRoutes, 1), 2, 1);
        const double bytesOfOne = configurationBytes();
        for (std::uint64_t n = 3; n <= Changes; ++n)
            change(document(n, ManyRoutes, static_cast<int>(n)), n, n - 1);
        CPPUNIT_ASSERT(waitForVersion(Changes, seconds(10)));
        CPPUNIT_ASSERT(configurationBytes() < bytesOfOne + MaxBytesOfOneChange * 2);
    }

private:
    double configurationBytes()
    {
        const std::string text = onLoop([this] { return m_control->metricsText(); });
        const std::string name = "\nggv_control_configuration_bytes ";
        return std::stod(text.substr(text.find(name) + name.size()));
    }

    Endpoint freeEndpoint()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(
            context, { boost::asio::ip::address_v4::loopback(), 0 });
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    void startControlHost(const Endpoint &endpoint)
    {
        ggv::ControlHostSetup setup;
        setup.self.name = ggv::HostName("control-1");
        setup.self.role = ggv::HostRole::Control;
        setup.self.internal = endpoint;
        setup.seeds = { endpoint };
        setup.dataFolder = m_folder;
        setup.initialize = true;
        m_control = ControlHost::start(m_pool->context(0), std::move(setup), m_reader).value();
    }

    void startGateway()
    {
        ggv::GatewaySetup setup;
        setup.self.name = ggv::HostName("entry-1");
        setup.self.service = m_callers;
        setup.seeds = { m_proxy->endpoint() };
        setup.topology = { ggv::FailureDomainName("a"),
                           { { ggv::FailureDomainName("a"), ggv::RegionName("north") } } };
        setup.headers = { "Id",   "Time-Left", "Object", "Instance",    "Seal", "Not-Run",
                          "Load", "Leaving",   "Limit",  "Answered-By", "Cold" };
        setup.decodeConfiguration = decodeDocument;
        m_gateway = Gateway::start(*m_pool, std::move(setup)).value();
    }

    // Runs a function on the event loop and returns its result.
    template <typename Function>
    std::invoke_result_t<Function> onLoop(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_pool->context(0), std::ref(task));
        return result.get();
    }

    void waitForLeader()
    {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!onLoop([this] { return m_control->isConfirmedLeader(); })
               && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(milliseconds(10));
    }

    void change(Bytes bytes, std::uint64_t version, std::uint64_t base)
    {
        ggv::ChangeConfiguration command { version, base, version, std::move(bytes) };
        const CommandOutcome outcome
            = boost::asio::co_spawn(m_pool->context(0), m_control->execute(std::move(command)),
                                    boost::asio::use_future)
                  .get();
        CPPUNIT_ASSERT(outcome.code == ggv::ResultCode::Ok);
    }

    bool waitForVersion(std::uint64_t version, Duration limit)
    {
        const std::string line = "\nggv_gateway_version " + std::to_string(version) + "\n";
        const auto end = std::chrono::steady_clock::now() + limit;
        while (onLoop([this] { return m_gateway->metricsText(); }).find(line)
               == std::string::npos) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }

    std::string call(const std::string &path)
    {
        boost::asio::io_context context;
        auto socket = RawSocket::connect(context, m_callers.port);
        socket.send(
            "GET " + path
            + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nTime-Left: 3000\r\nConnection: close\r\n\r\n");
        return socket.readToEnd();
    }

    OneTarget m_reader;
    std::filesystem::path m_folder;
    std::unique_ptr<ggv::IoPool> m_pool;
    Endpoint m_callers;
    std::unique_ptr<ThrottledProxy> m_proxy;
    std::unique_ptr<ControlHost> m_control;
    std::unique_ptr<Gateway> m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDistributionTest);

} // namespace
