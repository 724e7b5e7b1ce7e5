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

//! Identity with which this process authenticates to other hosts.
struct PeerIdentity
{
    HostName host;
    ProcessId process = 0;
    MemberId member = 0; //!< 0 if the host has no data folder.
    std::string secret; //!< Shared by all hosts of the system.
};

//! Callbacks of the network; called on its event loop.
struct PeerHandlers
{
    //! Returns the address of a host, or std::nullopt if the host is not in the register; its
    //! connections are then rejected.
    std::function<std::optional<Endpoint>(const HostName &)> addressOf;
    std::function<void(const HostName &, PeerMessage)> onMessage;
    std::function<void(const Hello &)> onConnected;
    std::function<void(const HostName &)> onDisconnected;
    //! Called when the host's operating system refused a connection: its process has stopped.
    std::function<void(const HostName &, Instant attemptedAt)> onRefused;
};

/**
 * @brief Authenticated connections to the other hosts of the system.
 *
 * Both ends prove knowledge of the shared secret and must be in the register. A message to a host
 * that is not connected is dropped, and a connection attempt is started. All functions must be
 * called on the event loop of the network.
 */
class PeerNetwork
{
public:
    /**
     * @brief Creates the network.
     * @param context Event loop.
     * @param identity Identity of this process.
     * @param options Limits of the connections.
     * @param handlers Callbacks.
     */
    PeerNetwork(boost::asio::io_context &context, PeerIdentity identity,
                const FrameOptions &options, PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    //! Starts accepting connections. @throws Error ConnectionLost if the address cannot be bound.
    void listen(const Endpoint &endpoint);
    //! Sends a message if the host is connected, else drops it and starts a connection attempt.
    void send(const HostName &host, const PeerMessage &message);
    //! Starts a connection attempt unless the host is connected or the last attempt was too recent.
    void connect(const HostName &host);
    //! Returns true if the host is connected and authenticated.
    [[nodiscard]] bool isConnected(const HostName &host) const;
    //! Returns the connected hosts, sorted.
    [[nodiscard]] std::vector<HostName> connectedHosts() const;
    //! Closes the connection to a host.
    void disconnect(const HostName &host);
    //! Returns the number of bytes sent to other hosts since construction.
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
