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

//! Bounds of a framed connection.
struct FrameOptions
{
    Duration keepAliveInterval
        = std::chrono::milliseconds(500); //!< An empty frame after this long.
    Duration silenceTimeout
        = std::chrono::milliseconds(2000); //!< Closed if nothing arrives for this long.
    Duration connectTimeout = std::chrono::milliseconds(1000);
    std::size_t maxQueuedBytes
        = std::size_t { 128 } * 1024 * 1024; //!< Closed if the peer reads too slowly.
};

/**
 * @brief A connection that carries frames both ways; belongs to one loop.
 *
 * Handlers run on the loop. After onClosed no handler is called again.
 */
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(ByteView)>;
    using CloseHandler = std::function<void(const Error &)>;

    virtual ~FrameConnection() = default;

    //! Starts reading; call once.
    virtual void start(FrameHandler onFrame, CloseHandler onClosed) = 0;
    //! Queues a frame; dropped without notice once the connection is closed.
    virtual void send(Bytes payload) = 0;
    //! Closes without calling onClosed.
    virtual void close() = 0;
    //! @return Bytes sent so far, headers included.
    [[nodiscard]] virtual std::uint64_t bytesSent() const noexcept = 0;
};

//! What became of an attempt to connect.
enum class ConnectFailure : std::uint8_t {
    Refused, //!< The host answered that nobody listens: the process has stopped.
    Unreachable, //!< Anything else.
};

/**
 * @brief Opens a framed connection.
 * @param context Loop that it will belong to.
 * @param peer Where to.
 * @param options Bounds.
 * @param onConnected Called with the connection, not started yet.
 * @param onFailure Called instead if it cannot be opened.
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
     * @brief Binds and starts to accept.
     * @param context Loop of the listener and its connections.
     * @param endpoint Where to listen; port 0 takes a free one.
     * @param options Bounds of the accepted connections.
     * @param onAccept Called with each connection, not started yet.
     * @throws Error ConnectionLost if the address cannot be bound.
     */
    FrameListener(boost::asio::io_context &context, const Endpoint &endpoint,
                  const FrameOptions &options, AcceptHandler onAccept);
    ~FrameListener();
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

    //! @return Port that is listened on.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
