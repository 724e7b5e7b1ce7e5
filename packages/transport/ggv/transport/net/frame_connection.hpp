#pragma once

#include <ggv/state/core/error.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/entities.hpp>
#include <ggv/state/storage/disk.hpp>

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! Timeouts and limits of a framed connection.
struct FrameOptions
{
    Duration keepAliveInterval
        = std::chrono::milliseconds(500); //!< Idle time before an empty frame is sent.
    //! Time without received data until the connection closes.
    Duration silenceTimeout = std::chrono::milliseconds(2000);
    Duration connectTimeout = std::chrono::milliseconds(1000);
    //! Limit of the send queue; the connection closes if it is exceeded.
    std::size_t maxQueuedBytes = std::size_t { 128 } * 1024 * 1024;
};

/**
 * @brief Bidirectional connection that carries frames; used from one event loop only.
 *
 * Handlers run on that loop. No handler is called after onClosed.
 */
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(ByteView)>;
    using CloseHandler = std::function<void(const Error &)>;

    virtual ~FrameConnection() = default;

    //! Starts reading; must be called once.
    virtual void start(FrameHandler onFrame, CloseHandler onClosed) = 0;
    //! Queues a frame; silently discarded if the connection is closed.
    virtual void send(Bytes payload) = 0;
    //! Closes the connection without calling onClosed.
    virtual void close() = 0;
    //! @return True while a frame has arrived partly and the rest keeps arriving.
    [[nodiscard]] virtual bool isReceivingFrame() const noexcept = 0;
    //! @return True while a frame has been sent partly and the rest keeps being sent.
    [[nodiscard]] virtual bool isSendingFrame() const noexcept = 0;
    //! @return Number of bytes that wait to be sent, including the frame being sent.
    [[nodiscard]] virtual std::size_t queuedBytes() const noexcept = 0;
    //! @return Total number of bytes sent, including frame headers.
    [[nodiscard]] virtual std::uint64_t bytesSent() const noexcept = 0;
};

//! Reason why connecting failed.
enum class ConnectFailure : std::uint8_t {
    Refused, //!< The host is up but no process listens on the port.
    Unreachable, //!< Any other failure, including a timeout.
};

/**
 * @brief Opens a framed connection.
 * @param context Event loop of the connection.
 * @param peer Address of the peer.
 * @param options Timeouts and limits.
 * @param onConnected Called with the connection, which is not started yet.
 * @param onFailure Called instead if connecting fails.
 */
void connectFrames(boost::asio::io_context &context, const Endpoint &peer,
                   const FrameOptions &options,
                   std::function<void(std::shared_ptr<FrameConnection>)> onConnected,
                   std::function<void(ConnectFailure)> onFailure);

//! Accepts framed connections on one address.
class FrameListener
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

    /**
     * @brief Binds the address and starts accepting connections.
     * @param context Event loop of the listener and its connections.
     * @param endpoint Address to listen on; port 0 selects a free port.
     * @param options Timeouts and limits of the accepted connections.
     * @param onAccept Called with each accepted connection, which is not started yet.
     * @throws Error ConnectionLost if the address cannot be bound.
     */
    FrameListener(boost::asio::io_context &context, const Endpoint &endpoint,
                  const FrameOptions &options, AcceptHandler onAccept);
    ~FrameListener();
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

    //! @return Port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
