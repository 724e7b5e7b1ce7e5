#include <ggv/transport/http/http_server.hpp>
#include <ggv/transport/net/detail/dead_peer_detection.hpp>

#include <net/packet_filter.hpp>
#include <net/raw_socket.hpp>

#include <thread>

#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
//! Longer than the buffers of both ends of a connection.
constexpr std::size_t LongAnswerBytes = 16UL * 1024 * 1024;

//! A connection with dead peer detection whose peer receives no packets.
struct SilentConnection
{
    explicit SilentConnection(Duration limit)
    {
        tcp::acceptor acceptor(m_context, { asio::ip::address_v4::loopback(), 0 });
        local.connect(acceptor.local_endpoint());
        acceptor.accept(m_peer);
        detail::enableDeadPeerDetection(local, limit);
        dropPackets(m_peer.native_handle(), true);
    }

    // Waits until the kernel closes the connection. Returns the time that it took.
    Duration waitForEnd()
    {
        const auto startedAt = std::chrono::steady_clock::now();
        char byte = 0;
        boost::system::error_code ec;
        local.read_some(asio::buffer(&byte, 1), ec);
        CPPUNIT_ASSERT(ec == asio::error::timed_out);
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startedAt);
    }

private:
    asio::io_context m_context;

public:
    tcp::socket local { m_context };

private:
    tcp::socket m_peer { m_context };
};

class DeadPeerDetectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeadPeerDetectionTest);
    CPPUNIT_TEST(unacknowledgedBytesEndTheConnection);
    CPPUNIT_TEST(unansweredProbesEndAnIdleConnection);
    CPPUNIT_TEST(lostProbeDoesNotCloseAKeptConnectionOfACaller);
    CPPUNIT_TEST(callerThatPausesReadingGetsTheWholeAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void unacknowledgedBytesEndTheConnection()
    {
        SilentConnection connection(seconds(1));
        asio::write(connection.local, asio::buffer(Request));
        const auto time = connection.waitForEnd();
        CPPUNIT_ASSERT(time >= milliseconds(900));
        CPPUNIT_ASSERT(time < milliseconds(1800));
    }

    void unansweredProbesEndAnIdleConnection()
    {
        SilentConnection connection(seconds(1));
        const auto time = connection.waitForEnd();
        CPPUNIT_ASSERT(time >= milliseconds(1800));
        CPPUNIT_ASSERT(time < milliseconds(2800));
    }

    void lostProbeDoesNotCloseAKeptConnectionOfACaller()
    {
        const auto server = startServer("ok");
        auto caller = RawSocket::connect(m_callers, server->port());
        caller.send(Request);
        caller.readUntil("\r\n\r\nok");
        caller.clearReceived();
        dropPackets(caller.handle(), true);
        std::this_thread::sleep_for(milliseconds(1500));
        dropPackets(caller.handle(), false);
        std::this_thread::sleep_for(milliseconds(1500));
        caller.send(Request);
        CPPUNIT_ASSERT(caller.readUntil("\r\n\r\nok").ends_with("ok"));
    }

    void callerThatPausesReadingGetsTheWholeAnswer()
    {
        const auto server = startServer(std::string(LongAnswerBytes, 'x') + "end");
        auto caller = RawSocket::connect(m_callers, server->port());
        caller.send(Request);
        std::this_thread::sleep_for(seconds(3));
        caller.shutdownSend();
        CPPUNIT_ASSERT(caller.readToEnd().ends_with("end"));
    }

    void tearDown() override { m_pool.stop(); }

private:
    std::unique_ptr<HttpServer> startServer(const std::string &body)
    {
        m_body = body;
        auto server = HttpServer::listen(
            m_pool, { "127.0.0.1", 0 }, {},
            [this](ServerExchange &exchange) { return serve(exchange); },
            [](ResultCode, const std::string &) {
                return HttpAnswer { 400, {}, "" };
            });
        m_pool.start();
        return std::move(server.value());
    }

    asio::awaitable<void> serve(ServerExchange &exchange)
    {
        HttpAnswer answer;
        answer.body = m_body;
        co_await exchange.answer(answer);
    }

    IoPool m_pool { 1 };
    asio::io_context m_callers;
    std::string m_body;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadPeerDetectionTest);

} // namespace
