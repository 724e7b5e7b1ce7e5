#include <ggv/transport/net/frame_connection.hpp>

#include <ggv/transport/net/frame.hpp>

#include <deque>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace ggv {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! Longest pause between two parts of a frame that is still being received or sent.
constexpr Duration MaxTransferPause = std::chrono::milliseconds(300);

class TcpFrameConnection : public FrameConnection
{
public:
    TcpFrameConnection(tcp::socket socket, const FrameOptions &options)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_options(options)
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }

    void start(FrameHandler onFrame, CloseHandler onClosed) override
    {
        m_onFrame = std::move(onFrame);
        m_onClosed = std::move(onClosed);
        m_lastReceived = monotonicNow();
        m_lastSent = m_lastReceived;
        readHeader();
        scheduleCheck();
    }

    void send(Bytes payload) override
    {
        if (m_closed)
            return;
        const auto header = encodeFrameHeader(static_cast<std::uint32_t>(payload.size()));
        payload.insert(payload.begin(), header.begin(), header.end());
        m_queuedBytes += payload.size();
        m_queue.push_back(std::move(payload));
        if (m_queuedBytes > m_options.maxQueuedBytes)
            fail(ResultCode::PeerSilent, "peer reads too slowly: send queue exceeds its limit");
        else if (!m_writing)
            writeNext();
    }

    void close() override
    {
        m_closed = true;
        m_onFrame = nullptr;
        m_onClosed = nullptr;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

    std::size_t queuedBytes() const noexcept override { return m_queuedBytes; }
    std::uint64_t bytesSent() const noexcept override { return m_bytesSent; }

    bool isReceivingFrame() const noexcept override
    {
        return m_receivingPayload && monotonicNow() - m_lastReceived < MaxTransferPause;
    }

    bool isSendingFrame() const noexcept override
    {
        return m_writing && monotonicNow() - m_lastSent < MaxTransferPause;
    }

private:
    std::shared_ptr<TcpFrameConnection> self()
    {
        return std::static_pointer_cast<TcpFrameConnection>(shared_from_this());
    }

    void fail(ResultCode code, const std::string &message)
    {
        if (m_closed)
            return;
        auto onClosed = std::move(m_onClosed);
        close();
        if (onClosed)
            onClosed(Error(code, message));
    }

    void readHeader()
    {
        asio::async_read(m_socket, asio::buffer(m_header),
                         [self = self()](boost::system::error_code ec, std::size_t) {
                             if (ec)
                                 self->fail(ResultCode::ConnectionLost, ec.message());
                             else
                                 self->readPayload();
                         });
    }

    void readPayload()
    {
        m_lastReceived = monotonicNow();
        try {
            m_payload.resize(decodeFrameHeader(m_header));
        } catch (const Error &error) {
            fail(error.code(), error.what());
            return;
        }
        m_receivingPayload = true;
        asio::async_read(
            m_socket, asio::buffer(m_payload),
            [self = self()](boost::system::error_code ec, std::size_t n) {
                return self->onPayloadPart(ec, n);
            },
            [self = self()](boost::system::error_code ec, std::size_t) {
                if (ec)
                    self->fail(ResultCode::ConnectionLost, ec.message());
                else
                    self->deliverFrame();
            });
    }

    // A large frame on a slow link is no silence. Returns the number of bytes still to be read.
    std::size_t onPayloadPart(boost::system::error_code ec, std::size_t received)
    {
        if (ec)
            return 0;
        if (received > 0)
            m_lastReceived = monotonicNow();
        return m_payload.size() - received;
    }

    void deliverFrame()
    {
        m_receivingPayload = false;
        m_lastReceived = monotonicNow();
        if (!m_payload.empty() && m_onFrame) {
            // Copied because the handler may close the connection, which clears m_onFrame.
            const auto onFrame = m_onFrame;
            try {
                onFrame(m_payload);
            } catch (const Error &error) {
                fail(error.code(), error.what());
            }
        }
        if (!m_closed)
            readHeader();
    }

    void writeNext()
    {
        m_writing = true;
        asio::async_write(
            m_socket, asio::buffer(m_queue.front()),
            [self = self()](boost::system::error_code ec, std::size_t n) {
                return self->onPartWritten(ec, n);
            },
            [self = self()](boost::system::error_code ec, std::size_t n) {
                self->onWritten(ec, n);
            });
    }

    // Returns the number of bytes still to be written.
    std::size_t onPartWritten(boost::system::error_code ec, std::size_t written)
    {
        if (ec)
            return 0;
        if (written > 0)
            m_lastSent = monotonicNow();
        return m_queue.front().size() - written;
    }

    void onWritten(boost::system::error_code ec, std::size_t n)
    {
        m_writing = false;
        if (ec) {
            fail(ResultCode::ConnectionLost, ec.message());
            return;
        }
        m_lastSent = monotonicNow();
        m_bytesSent += n;
        m_queuedBytes -= m_queue.front().size();
        m_queue.pop_front();
        if (!m_queue.empty() && !m_closed)
            writeNext();
    }

    // Schedules the periodic check that sends keep-alive frames and detects a silent peer.
    void scheduleCheck()
    {
        m_timer.expires_after(m_options.keepAliveInterval / 2);
        m_timer.async_wait([self = self()](boost::system::error_code ec) {
            if (!ec && !self->m_closed)
                self->checkLiveness();
        });
    }

    void checkLiveness()
    {
        const Instant now = monotonicNow();
        if (now - m_lastReceived > m_options.silenceTimeout) {
            fail(ResultCode::PeerSilent, "no data received within the silence timeout");
            return;
        }
        if (!m_writing && now - m_lastSent > m_options.keepAliveInterval)
            send({});
        if (!m_closed)
            scheduleCheck();
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    FrameOptions m_options;
    FrameHandler m_onFrame;
    CloseHandler m_onClosed;
    std::array<std::uint8_t, FrameHeaderBytes> m_header {};
    Bytes m_payload;
    std::deque<Bytes> m_queue;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_bytesSent = 0;
    Instant m_lastReceived {};
    Instant m_lastSent {};
    bool m_receivingPayload = false;
    bool m_writing = false;
    bool m_closed = false;
};

//! Pending connection attempt with its timeout.
struct ConnectAttempt
{
    explicit ConnectAttempt(asio::io_context &context)
        : socket(context)
        , timer(context)
    { }

    tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

void connectFrames(asio::io_context &context, const Endpoint &peer, const FrameOptions &options,
                   std::function<void(std::shared_ptr<FrameConnection>)> onConnected,
                   std::function<void(ConnectFailure)> onFailure)
{
    boost::system::error_code invalidAddress;
    const auto address = asio::ip::make_address(peer.address, invalidAddress);
    if (invalidAddress) {
        // Addresses come from messages of other hosts.
        asio::post(context,
                   [onFailure = std::move(onFailure)] { onFailure(ConnectFailure::Unreachable); });
        return;
    }
    auto attempt = std::make_shared<ConnectAttempt>(context);
    attempt->timer.expires_after(options.connectTimeout);
    attempt->timer.async_wait([attempt](boost::system::error_code ec) {
        boost::system::error_code ignored;
        if (!ec)
            attempt->socket.close(ignored);
    });
    const tcp::endpoint remote(address, peer.port);
    attempt->socket.async_connect(remote,
                                  [attempt, options, onConnected = std::move(onConnected),
                                   onFailure = std::move(onFailure)](boost::system::error_code ec) {
                                      attempt->timer.cancel();
                                      if (!ec)
                                          onConnected(std::make_shared<TcpFrameConnection>(
                                              std::move(attempt->socket), options));
                                      else if (ec == asio::error::connection_refused)
                                          onFailure(ConnectFailure::Refused);
                                      else
                                          onFailure(ConnectFailure::Unreachable);
                                  });
}

class FrameListener::Implementation
    : public std::enable_shared_from_this<FrameListener::Implementation>
{
public:
    Implementation(asio::io_context &context, const FrameOptions &options, AcceptHandler onAccept)
        : m_acceptor(context)
        , m_options(options)
        , m_onAccept(std::move(onAccept))
    { }

    void bind(const Endpoint &endpoint)
    {
        const tcp::endpoint local(asio::ip::make_address(endpoint.address), endpoint.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(asio::socket_base::max_listen_connections);
    }

    void acceptNext()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
                if (!self->m_acceptor.is_open())
                    return;
                if (!ec)
                    self->m_onAccept(
                        std::make_shared<TcpFrameConnection>(std::move(socket), self->m_options));
                self->acceptNext();
            });
    }

    tcp::acceptor m_acceptor;
    FrameOptions m_options;
    AcceptHandler m_onAccept;
};

FrameListener::FrameListener(asio::io_context &context, const Endpoint &endpoint,
                             const FrameOptions &options, AcceptHandler onAccept)
    : m_implementation(std::make_shared<Implementation>(context, options, std::move(onAccept)))
{
    try {
        m_implementation->bind(endpoint);
    } catch (const boost::system::system_error &error) {
        throw Error(ResultCode::ConnectionLost,
                    "cannot listen on " + endpoint.address + ":" + std::to_string(endpoint.port)
                        + ": " + error.code().message());
    }
    m_implementation->acceptNext();
}

FrameListener::~FrameListener()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close(ignored);
}

std::uint16_t FrameListener::port() const noexcept
{
    boost::system::error_code ec;
    return m_implementation->m_acceptor.local_endpoint(ec).port();
}

} // namespace ggv
