#include <ggv/coordination/fleet/fleet_mesh.hpp>

#include <ggv/coordination/fleet/endpoint_text.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>

namespace ggv {

FrameOptions fleetFrameOptions()
{
    FrameOptions options;
    options.keepAliveInterval = std::chrono::milliseconds(400);
    options.silenceTimeout = std::chrono::milliseconds(1300);
    options.connectTimeout = std::chrono::milliseconds(600);
    options.maxQueuedBytes = std::size_t { 16 } * 1024 * 1024;
    return options;
}

FleetMesh::FleetMesh(boost::asio::io_context &context,
                     std::function<void(const Endpoint &)> onConnected)
    : m_context(context)
    , m_onConnected(std::move(onConnected))
    , m_alive(std::make_shared<FleetMesh *>(this))
{ }

FleetMesh::~FleetMesh()
{
    *m_alive = nullptr;
    for (auto &[endpoint, peer] : m_peers) {
        if (peer.connection)
            peer.connection->close();
    }
}

void FleetMesh::setPeers(const std::set<Endpoint> &peers)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (peers.contains(it->first)) {
            ++it;
            continue;
        }
        if (it->second.connection)
            it->second.connection->close();
        it = m_peers.erase(it);
    }
    for (const auto &it : peers)
        m_peers.try_emplace(it);
}

void FleetMesh::send(const Endpoint &peer, const FleetMessage &message)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end() && it->second.connection)
        it->second.connection->send(encodeFleetMessage(message));
}

std::vector<Endpoint> FleetMesh::connected() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.connection)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

bool FleetMesh::isSending(const Endpoint &peer) const noexcept
{
    const auto it = m_peers.find(peer);
    return it != m_peers.end() && it->second.connection && it->second.connection->isSendingFrame();
}

std::size_t FleetMesh::maxQueuedBytes() const noexcept
{
    std::size_t longest = 0;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.connection)
            longest = std::max(longest, peer.connection->queuedBytes());
    }
    return longest;
}

void FleetMesh::tick(Instant now)
{
    for (auto &[endpoint, peer] : m_peers) {
        const bool due
            = peer.lastAttemptAt == Instant::min() || now - peer.lastAttemptAt >= ReconnectInterval;
        if (!peer.connection && !peer.connecting && due)
            connect(endpoint, peer, now);
    }
}

void FleetMesh::connect(const Endpoint &endpoint, Peer &peer, Instant now)
{
    peer.connecting = true;
    peer.lastAttemptAt = now;
    connectFrames(
        m_context, endpoint, fleetFrameOptions(),
        [alive = m_alive, endpoint](const std::shared_ptr<FrameConnection> &connection) {
            if (*alive != nullptr)
                (*alive)->onConnectionOpened(endpoint, connection);
        },
        [alive = m_alive, endpoint](ConnectFailure) {
            if (*alive == nullptr)
                return;
            const auto it = (*alive)->m_peers.find(endpoint);
            if (it != (*alive)->m_peers.end())
                it->second.connecting = false;
        });
}

void FleetMesh::onConnectionOpened(const Endpoint &endpoint,
                                   const std::shared_ptr<FrameConnection> &connection)
{
    const auto it = m_peers.find(endpoint);
    if (it == m_peers.end()) {
        connection->close();
        return;
    }
    it->second.connecting = false;
    it->second.connection = connection;
    logEvent(LogLevel::Info, "peer-connected", { { "peer", endpointText(endpoint) } });
    const auto *opened = connection.get();
    connection->start([](ByteView) {},
                      [alive = m_alive, endpoint, opened](const Error &error) {
                          if (*alive != nullptr)
                              (*alive)->onConnectionClosed(endpoint, opened, error.what());
                      });
    m_onConnected(endpoint);
}

void FleetMesh::onConnectionClosed(const Endpoint &endpoint, const FrameConnection *connection,
                                   const char *reason)
{
    const auto it = m_peers.find(endpoint);
    if (it == m_peers.end() || it->second.connection.get() != connection)
        return;
    it->second.connection.reset();
    logEvent(LogLevel::Warning, "peer-lost",
             { { "peer", endpointText(endpoint) }, { "reason", reason } });
}

} // namespace ggv
