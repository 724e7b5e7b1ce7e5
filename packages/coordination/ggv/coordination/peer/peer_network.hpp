#pragma once

#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/model/entities.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

//! Who this process is towards other hosts.
struct PeerIdentity
{
    HostName host;
    ProcessId process = 0;
    MemberId member = 0; //!< 0 if it has no data folder.
    std::string secret; //!< Shared by all hosts of the system.
};

//! What the network reports; called on its loop.
struct PeerHandlers
{
    //! Where a host listens; nothing for a host that is not in the register, which is refused.
    std::function<std::optional<Endpoint>(const HostName &)> addressOf;
    std::function<void(const HostName &, PeerMessage)> onMessage;
    std::function<void(const Hello &)> onConnected;
    std::function<void(const HostName &)> onDisconnected;
    //! The host's own operating system refused an attempt: its process has stopped.
    std::function<void(const HostName &, Instant attemptedAt)> onRefused;
};

/**
 * @brief Authenticated connections to other hosts of the system; belongs to one loop.
 *
 * Both ends prove knowledge of the shared secret and must be in the register. Messages to a host
 * that is not connected are dropped after a connection attempt was started.
 */
class PeerNetwork
{
public:
    /**
     * @brief Creates the network.
     * @param context Loop.
     * @param identity Who this process is.
     * @param options Bounds of connections.
     * @param handlers What to report to.
     */
    PeerNetwork(boost::asio::io_context &context, PeerIdentity identity,
                const FrameOptions &options, PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    //! Starts to accept. @throws Error ConnectionLost if the address cannot be bound.
    void listen(const Endpoint &endpoint);
    //! Sends a message if the host is connected, else drops it and starts to connect.
    void send(const HostName &host, const PeerMessage &message);
    //! Starts to connect unless connected or tried a moment ago.
    void connect(const HostName &host);
    //! @return True if messages can be sent now.
    [[nodiscard]] bool connected(const HostName &host) const;
    //! @return Connected hosts, sorted.
    [[nodiscard]] std::vector<HostName> connectedHosts() const;
    //! Closes the connection to a host.
    void disconnect(const HostName &host);
    //! @return Bytes sent to all hosts since the start.
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
