#include <ggv/transport/net/frame.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <net/raw_socket.hpp>

#include <map>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

FrameOptions quickOptions()
{
    FrameOptions options;
    options.keepAliveInterval = milliseconds(40);
    options.silenceTimeout = milliseconds(400);
    options.connectTimeout = milliseconds(200);
    options.maxQueuedBytes = std::size_t { 1024 } * 1024;
    return options;
}

//! One end and what it saw.
struct End
{
    std::shared_ptr<FrameConnection> connection;
    std::vector<Bytes> frames;
    std::optional<ResultCode> closed;
    int closeCalls = 0;

    void start(std::shared_ptr<FrameConnection> opened)
    {
        connection = std::move(opened);
        connection->start(
            [this](ByteView bytes) { frames.emplace_back(bytes.begin(), bytes.end()); },
            [this](const Error &error) {
                closed = error.code();
                ++closeCalls;
            });
    }
};

class FrameConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrameConnectionTest);
    CPPUNIT_TEST(headerRoundTripAndBound);
    CPPUNIT_TEST(framesArriveWholeAndInOrder);
    CPPUNIT_TEST(oversizedFrameEndsTheConnection);
    CPPUNIT_TEST(silentPeerEndsTheConnection);
    CPPUNIT_TEST(keepAliveHoldsAnIdleConnection);
    CPPUNIT_TEST(cutFrameIsNeverDelivered);
    CPPUNIT_TEST(slowReaderIsBounded);
    CPPUNIT_TEST(refusedIsToldFromUnreachable);
    CPPUNIT_TEST(unansweredConnectEndsAtItsTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        for (auto *end : { &m_dialled, &m_accepted }) {
            if (end->connection)
                end->connection->close();
        }
        m_context.restart();
        m_context.poll();
    }

    void headerRoundTripAndBound()
    {
        for (const std::uint32_t size : { 0U, 1U, 65536U, MaxFrameBytes })
            CPPUNIT_ASSERT_EQUAL(size, decodeFrameHeader(encodeFrameHeader(size)));
        CPPUNIT_ASSERT_THROW((void)decodeFrameHeader(encodeFrameHeader(MaxFrameBytes + 1)), Error);
    }

    void framesArriveWholeAndInOrder()
    {
        openPair();
        const std::vector<Bytes> sent { Bytes(1, 1), Bytes(300'000, 2), Bytes(7, 3) };
        for (const auto &frame : sent)
            m_dialled.connection->send(frame);
        runUntil([&] { return m_accepted.frames.size() == sent.size(); });
        CPPUNIT_ASSERT(m_accepted.frames == sent);
        m_accepted.connection->send(Bytes(5, 9));
        runUntil([&] { return !m_dialled.frames.empty(); });
        CPPUNIT_ASSERT(m_dialled.frames.front() == Bytes(5, 9));
    }

    void oversizedFrameEndsTheConnection()
    {
        auto peer = openRaw();
        peer.send("\xff\xff\xff\xff");
        expectClosed(ResultCode::ProtocolViolation);
    }

    void silentPeerEndsTheConnection()
    {
        auto peer = openRaw();
        expectClosed(ResultCode::PeerSilent);
    }

    void keepAliveHoldsAnIdleConnection()
    {
        openPair();
        const auto limit = monotonicNow() + 3 * quickOptions().silenceTimeout;
        runUntil([&] { return monotonicNow() > limit; });
        CPPUNIT_ASSERT(!m_accepted.closed && !m_dialled.closed);
        CPPUNIT_ASSERT(m_accepted.frames.empty());
        CPPUNIT_ASSERT(m_dialled.connection->bytesSent() > 0);
    }

    void cutFrameIsNeverDelivered()
    {
        auto peer = openRaw();
        peer.send(std::string("\0\0\0\x05", 4) + "abc");
        peer.close();
        expectClosed(ResultCode::ConnectionLost);
        CPPUNIT_ASSERT(m_accepted.frames.empty());
    }

    // The peer goes on sending, so that only the queue can end the connection.
    void slowReaderIsBounded()
    {
        auto peer = openRaw();
        const Bytes frame(65'536, 1);
        const auto limit = quickOptions().maxQueuedBytes;
        std::size_t sent = 0;
        while (!m_accepted.closed && sent < 64 * limit) {
            m_accepted.connection->send(frame);
            sent += frame.size();
            peer.send(std::string(4, '\0'));
            m_context.restart();
            m_context.poll();
        }
        CPPUNIT_ASSERT(m_accepted.closed == ResultCode::PeerSilent);
        CPPUNIT_ASSERT(sent - m_accepted.connection->bytesSent() <= limit + 2 * frame.size());
    }

    void refusedIsToldFromUnreachable()
    {
        tcp::acceptor acceptor(m_context, { asio::ip::address_v4::loopback(), 0 });
        const auto port = acceptor.local_endpoint().port();
        acceptor.close();
        dial(port, 1);
        CPPUNIT_ASSERT_EQUAL(1, m_failures[ConnectFailure::Refused]);
    }

    // Attempts beyond the backlog of a listener that never accepts get no answer.
    void unansweredConnectEndsAtItsTimeout()
    {
        tcp::acceptor acceptor(m_context);
        acceptor.open(tcp::v4());
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor.listen(0);
        dial(acceptor.local_endpoint().port(), 4);
        CPPUNIT_ASSERT(m_failures[ConnectFailure::Unreachable] > 0);
        CPPUNIT_ASSERT_EQUAL(0, m_failures[ConnectFailure::Refused]);
    }

private:
    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(WaitSeconds);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(milliseconds(5));
        }
        CPPUNIT_ASSERT(condition());
    }

    void expectClosed(ResultCode code)
    {
        runUntil([&] { return m_accepted.closed.has_value(); });
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(*m_accepted.closed));
        CPPUNIT_ASSERT_EQUAL(1, m_accepted.closeCalls);
    }

    void openPair()
    {
        connectFrames(
            m_context, { "127.0.0.1", m_listener.port() }, quickOptions(),
            [this](auto connection) { m_dialled.start(std::move(connection)); },
            [](ConnectFailure) { CPPUNIT_FAIL("not connected"); });
        runUntil([&] { return m_dialled.connection && m_accepted.connection; });
    }

    RawSocket openRaw()
    {
        auto peer = RawSocket::connect(m_context, m_listener.port());
        runUntil([&] { return m_accepted.connection != nullptr; });
        return peer;
    }

    void dial(std::uint16_t port, int count)
    {
        int ended = 0;
        for (int n = 0; n < count; ++n) {
            connectFrames(
                m_context, { "127.0.0.1", port }, quickOptions(), [&](auto) { ++ended; },
                [&](ConnectFailure failure) {
                    ++m_failures[failure];
                    ++ended;
                });
        }
        runUntil([&] { return ended == count; });
    }

    asio::io_context m_context;
    End m_dialled;
    End m_accepted;
    std::map<ConnectFailure, int> m_failures;
    FrameListener m_listener { m_context,
                               { "127.0.0.1", 0 },
                               quickOptions(),
                               [this](auto connection) {
                                   m_accepted.start(std::move(connection));
                               } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameConnectionTest);

} // namespace
