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

FrameOptions shortTimeoutOptions()
{
    FrameOptions options;
    options.keepAliveInterval = milliseconds(40);
    options.silenceTimeout = milliseconds(400);
    options.connectTimeout = milliseconds(200);
    options.maxQueuedBytes = std::size_t { 1024 } * 1024;
    return options;
}

//! One end of a connection with the events it received.
struct ConnectionEnd
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
    CPPUNIT_TEST(headerRoundTripsAndOversizedLengthIsRejected);
    CPPUNIT_TEST(framesArriveCompleteAndInOrder);
    CPPUNIT_TEST(oversizedFrameClosesTheConnection);
    CPPUNIT_TEST(connectionToSilentPeerIsClosed);
    CPPUNIT_TEST(keepAliveFramesKeepAnIdleConnectionOpen);
    CPPUNIT_TEST(slowFrameIsNoSilence);
    CPPUNIT_TEST(invalidAddressIsUnreachable);
    CPPUNIT_TEST(truncatedFrameIsNeverDelivered);
    CPPUNIT_TEST(sendQueueToSlowReaderIsBounded);
    CPPUNIT_TEST(frameIsBeingSentOnlyWhileThePeerReads);
    CPPUNIT_TEST(refusedConnectIsDistinguishedFromUnreachable);
    CPPUNIT_TEST(unansweredConnectFailsAtItsTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        for (auto *end : { &m_outgoing, &m_accepted }) {
            if (end->connection)
                end->connection->close();
        }
        m_context.restart();
        m_context.poll();
    }

    void headerRoundTripsAndOversizedLengthIsRejected()
    {
        for (const std::uint32_t size : { 0U, 1U, 65536U, MaxFrameBytes })
            CPPUNIT_ASSERT_EQUAL(size, decodeFrameHeader(encodeFrameHeader(size)));
        CPPUNIT_ASSERT_THROW((void)decodeFrameHeader(encodeFrameHeader(MaxFrameBytes + 1)), Error);
    }

    void framesArriveCompleteAndInOrder()
    {
        openPair();
        const std::vector<Bytes> sent { Bytes(1, 1), Bytes(300'000, 2), Bytes(7, 3) };
        for (const auto &frame : sent)
            m_outgoing.connection->send(frame);
        runUntil([&] { return m_accepted.frames.size() == sent.size(); });
        CPPUNIT_ASSERT(m_accepted.frames == sent);
        m_accepted.connection->send(Bytes(5, 9));
        runUntil([&] { return !m_outgoing.frames.empty(); });
        CPPUNIT_ASSERT(m_outgoing.frames.front() == Bytes(5, 9));
    }

    void oversizedFrameClosesTheConnection()
    {
        auto peer = openRawPeer();
        peer.send("\xff\xff\xff\xff");
        expectClosed(ResultCode::ProtocolViolation);
    }

    void connectionToSilentPeerIsClosed()
    {
        auto peer = openRawPeer();
        expectClosed(ResultCode::PeerSilent);
    }

    void keepAliveFramesKeepAnIdleConnectionOpen()
    {
        openPair();
        const auto limit = monotonicNow() + 3 * shortTimeoutOptions().silenceTimeout;
        runUntil([&] { return monotonicNow() > limit; });
        CPPUNIT_ASSERT(!m_accepted.closed && !m_outgoing.closed);
        CPPUNIT_ASSERT(m_accepted.frames.empty());
        CPPUNIT_ASSERT(m_outgoing.connection->bytesSent() > 0);
    }

    // A large message on a busy link: parts arrive for longer than the silence timeout.
    void slowFrameIsNoSilence()
    {
        auto peer = openRawPeer();
        constexpr std::size_t Parts = 12;
        const std::string header("\0\0\0\x0c", 4);
        peer.send(header);
        for (std::size_t n = 0; n < Parts; ++n) {
            const auto next = monotonicNow() + shortTimeoutOptions().silenceTimeout / 4;
            runUntil([&] { return monotonicNow() > next; });
            CPPUNIT_ASSERT(n == 0 || m_accepted.connection->isReceivingFrame());
            peer.send("x");
        }
        runUntil([&] { return !m_accepted.frames.empty() || m_accepted.closed; });
        CPPUNIT_ASSERT(!m_accepted.closed);
        CPPUNIT_ASSERT_EQUAL(Parts, m_accepted.frames.front().size());
        CPPUNIT_ASSERT(!m_accepted.connection->isReceivingFrame());
    }

    void invalidAddressIsUnreachable()
    {
        std::optional<ggv::ConnectFailure> failure;
        ggv::connectFrames(
            m_context, { "10.0.0.x", 7000 }, shortTimeoutOptions(),
            [](const std::shared_ptr<FrameConnection> &) {},
            [&failure](ggv::ConnectFailure it) { failure = it; });
        runUntil([&] { return failure.has_value(); });
        CPPUNIT_ASSERT(failure == ggv::ConnectFailure::Unreachable);
    }

    void truncatedFrameIsNeverDelivered()
    {
        auto peer = openRawPeer();
        peer.send(std::string("\0\0\0\x05", 4) + "abc");
        peer.close();
        expectClosed(ResultCode::ConnectionLost);
        CPPUNIT_ASSERT(m_accepted.frames.empty());
    }

    // The peer keeps sending, so that only the send queue limit can close the connection.
    void sendQueueToSlowReaderIsBounded()
    {
        auto peer = openRawPeer();
        const Bytes frame(65'536, 1);
        const auto limit = shortTimeoutOptions().maxQueuedBytes;
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

    // A long frame on its way shows that the peer lives; one that nobody reads does not.
    void frameIsBeingSentOnlyWhileThePeerReads()
    {
        constexpr std::size_t FrameBytes = std::size_t { 48 } * 1024 * 1024;
        constexpr std::size_t ReadBytes = std::size_t { 1024 } * 1024;
        FrameOptions options;
        options.silenceTimeout = seconds(WaitSeconds);
        ConnectionEnd sender;
        const FrameListener listener(
            m_context, { "127.0.0.1", 0 }, options,
            [&sender](auto connection) { sender.start(std::move(connection)); });
        auto peer = RawSocket::connect(m_context, listener.port());
        runUntil([&] { return sender.connection != nullptr; });
        CPPUNIT_ASSERT(!sender.connection->isSendingFrame());
        sender.connection->send(Bytes(FrameBytes));
        // The operating system's buffers fill up, then nothing moves any more.
        runUntil([&] { return !sender.connection->isSendingFrame(); });
        CPPUNIT_ASSERT(sender.connection->queuedBytes() > 0);
        std::vector<char> buf(ReadBytes);
        const auto readPart = [&] {
            (void)::recv(peer.handle(), buf.data(), buf.size(), MSG_DONTWAIT);
            return sender.connection->isSendingFrame();
        };
        runUntil(readPart);
        runUntil([&] { return readPart(), sender.connection->queuedBytes() == 0; });
        CPPUNIT_ASSERT(!sender.connection->isSendingFrame());
        sender.connection->close();
    }

    void refusedConnectIsDistinguishedFromUnreachable()
    {
        tcp::acceptor acceptor(m_context, { asio::ip::address_v4::loopback(), 0 });
        const auto port = acceptor.local_endpoint().port();
        acceptor.close();
        connectAndAwaitResults(port, 1);
        CPPUNIT_ASSERT_EQUAL(1, m_failures[ConnectFailure::Refused]);
    }

    // Connection attempts beyond the backlog of a listener that never accepts get no reply.
    void unansweredConnectFailsAtItsTimeout()
    {
        tcp::acceptor acceptor(m_context);
        acceptor.open(tcp::v4());
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor.listen(0);
        connectAndAwaitResults(acceptor.local_endpoint().port(), 4);
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
            m_context, { "127.0.0.1", m_listener.port() }, shortTimeoutOptions(),
            [this](auto connection) { m_outgoing.start(std::move(connection)); },
            [](ConnectFailure) { CPPUNIT_FAIL("connecting to the listener failed"); });
        runUntil([&] { return m_outgoing.connection && m_accepted.connection; });
    }

    RawSocket openRawPeer()
    {
        auto peer = RawSocket::connect(m_context, m_listener.port());
        runUntil([&] { return m_accepted.connection != nullptr; });
        return peer;
    }

    void connectAndAwaitResults(std::uint16_t port, int count)
    {
        int completed = 0;
        for (int n = 0; n < count; ++n) {
            connectFrames(
                m_context, { "127.0.0.1", port }, shortTimeoutOptions(), [&](auto) { ++completed; },
                [&](ConnectFailure failure) {
                    ++m_failures[failure];
                    ++completed;
                });
        }
        runUntil([&] { return completed == count; });
    }

    asio::io_context m_context;
    ConnectionEnd m_outgoing;
    ConnectionEnd m_accepted;
    std::map<ConnectFailure, int> m_failures;
    FrameListener m_listener { m_context,
                               { "127.0.0.1", 0 },
                               shortTimeoutOptions(),
                               [this](auto connection) {
                                   m_accepted.start(std::move(connection));
                               } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameConnectionTest);

} // namespace
