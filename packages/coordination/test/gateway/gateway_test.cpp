#include <ggv/coordination/gateway/gateway.hpp>
#include <ggv/coordination/gateway/peer_forwarding.hpp>

#include <gateway/gateway_fixture.hpp>

#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;
using ggv::Duration;
using ggv::Endpoint;
using ggv::Gateway;
using ggv::GatewaySetup;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! An entry host without configuration, so that each request waits for up to a second.
class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(requestsOfPeersAreServedOnTheInternalEndpoint);
    CPPUNIT_TEST(shutdownWaitsForRequestsOfPeers);
    CPPUNIT_TEST(busyInternalEndpointDoesNotStopTheHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_setup.self.service = freeEndpoint();
        m_setup.self.internal = freeEndpoint();
        m_setup.headers = sampleHeaders();
    }

    void tearDown() override
    {
        m_pool.stop();
        m_gateway.reset();
    }

    void requestsOfPeersAreServedOnTheInternalEndpoint()
    {
        start();
        const auto forPeer = call(m_setup.self.internal);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), forPeer.substr(9, 3));
        CPPUNIT_ASSERT(forPeer.find("Refusal-Reason: no-configuration") != std::string::npos);
        const auto forCaller = call(m_setup.self.service);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), forCaller.substr(9, 3));
        CPPUNIT_ASSERT(forCaller.find(ggv::RefusalReasonHeader) == std::string::npos);
    }

    void shutdownWaitsForRequestsOfPeers()
    {
        m_setup.shutdownGrace = seconds(2);
        start();
        m_gateway->beginShutdown();
        std::this_thread::sleep_for(milliseconds(1400));
        auto socket = send(m_setup.self.internal, "3000");
        std::this_thread::sleep_for(milliseconds(150));
        CPPUNIT_ASSERT(!m_gateway->continueShutdown());
        CPPUNIT_ASSERT_EQUAL(std::string("503"), socket.readToEnd().substr(9, 3));
        CPPUNIT_ASSERT(m_gateway->continueShutdown());
        CPPUNIT_ASSERT(call(m_setup.self.internal).empty());
    }

    void busyInternalEndpointDoesNotStopTheHost()
    {
        boost::asio::ip::tcp::acceptor acceptor(m_callers,
                                                { boost::asio::ip::address_v4::loopback(), 0 });
        m_setup.self.internal.port = acceptor.local_endpoint().port();
        start();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), call(m_setup.self.service).substr(9, 3));
    }

private:
    Endpoint freeEndpoint()
    {
        const boost::asio::ip::tcp::acceptor acceptor(
            m_callers, { boost::asio::ip::address_v4::loopback(), 0 });
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    void start()
    {
        m_gateway = Gateway::start(m_pool, m_setup).value();
        m_pool.start();
    }

    RawSocket send(const Endpoint &endpoint, const std::string &remainingTime)
    {
        auto socket = RawSocket::connect(m_callers, endpoint.port);
        socket.send("GET /a/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nTime-Left: " + remainingTime
                    + "\r\nConnection: close\r\n\r\n");
        return socket;
    }

    std::string call(const Endpoint &endpoint)
    {
        try {
            auto socket = send(endpoint, "60");
            return socket.readToEnd();
        } catch (const boost::system::system_error &) {
            return "";
        }
    }

    ggv::IoPool m_pool { 1 };
    boost::asio::io_context m_callers;
    GatewaySetup m_setup;
    std::unique_ptr<Gateway> m_gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace
