#pragma once

#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! Bounds of all connections between hosts of the fleet.
[[nodiscard]] FrameOptions fleetFrameOptions();

/**
 * @brief Outgoing connections of a control host to other control hosts; reconnects by itself.
 *
 * Each direction of a pair of hosts uses the connection that its sender opened. Belongs to one
 * loop. Messages to a host that is not connected are dropped: every sender repeats its own.
 */
class FleetMesh
{
public:
    //! Pause between attempts to connect.
    static constexpr Duration ReconnectInterval = std::chrono::milliseconds(200);

    //! @param context Loop. @param onConnected Called with each new connection's peer.
    FleetMesh(boost::asio::io_context &context, std::function<void(const Endpoint &)> onConnected);
    ~FleetMesh();

    //! Sets the hosts to be connected to; connections to others are closed.
    void setPeers(const std::set<Endpoint> &peers);
    //! Sends to a peer if it is connected.
    void send(const Endpoint &peer, const FleetMessage &message);
    //! @return Peers that are connected.
    [[nodiscard]] std::vector<Endpoint> connected() const;
    //! Opens what is missing; call regularly.
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
    void opened(const Endpoint &endpoint, const std::shared_ptr<FrameConnection> &connection);
    void closed(const Endpoint &endpoint, const FrameConnection *connection, const char *reason);

    boost::asio::io_context &m_context;
    std::function<void(const Endpoint &)> m_onConnected;
    std::map<Endpoint, Peer> m_peers;
    std::shared_ptr<FleetMesh *> m_alive; //!< Handlers may outlive this object.
};

} // namespace ggv
