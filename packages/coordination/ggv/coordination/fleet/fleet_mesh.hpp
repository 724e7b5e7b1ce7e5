#pragma once

#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! @return Time-outs and limits of all connections between hosts of the fleet.
[[nodiscard]] FrameOptions fleetFrameOptions();

/**
 * @brief Outgoing connections of a control host to the other control hosts, with reconnection.
 *
 * Each host sends over the connection that it opened itself. Messages to a host that is not
 * connected are dropped; senders repeat them. Not thread-safe; runs on one event loop.
 */
class FleetMesh
{
public:
    //! Minimum time between attempts to connect to the same peer.
    static constexpr Duration ReconnectInterval = std::chrono::milliseconds(200);

    //! @param context Event loop. @param onConnected Called with the peer of each new connection.
    FleetMesh(boost::asio::io_context &context, std::function<void(const Endpoint &)> onConnected);
    ~FleetMesh();

    //! Sets the peers to connect to and closes the connections to all others.
    void setPeers(const std::set<Endpoint> &peers);
    //! Sends a message to a peer; drops it if the peer is not connected.
    void send(const Endpoint &peer, const FleetMessage &message);
    //! @return Addresses of the connected peers.
    [[nodiscard]] std::vector<Endpoint> connected() const;
    //! @return True while a message to the peer is being sent and its bytes keep moving.
    [[nodiscard]] bool isSending(const Endpoint &peer) const noexcept;
    //! @return Length of the longest send queue, in bytes.
    [[nodiscard]] std::size_t maxQueuedBytes() const noexcept;
    //! Opens missing connections. Must be called periodically.
    void tick(Instant now);

private:
    struct Peer
    {
        std::shared_ptr<FrameConnection> connection;
        bool connecting = false;
        bool wasConnected = false;
        Instant lastAttemptAt = Instant::min();
    };

    void connect(const Endpoint &endpoint, Peer &peer, Instant now);
    void onConnectionOpened(const Endpoint &endpoint,
                            const std::shared_ptr<FrameConnection> &connection);
    void onConnectionClosed(const Endpoint &endpoint, const FrameConnection *connection,
                            const char *reason);

    boost::asio::io_context &m_context;
    std::function<void(const Endpoint &)> m_onConnected;
    std::map<Endpoint, Peer> m_peers;
    std::shared_ptr<FleetMesh *> m_alive; //!< Null once this object is destroyed; held by handlers.
};

} // namespace ggv
