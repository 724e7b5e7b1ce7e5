#pragma once

#include <ggv/coordination/gateway/forwarding_headers.hpp>
#include <ggv/coordination/gateway/gateway_context.hpp>
#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace ggv {

//! Start parameters of an entry host of the fleet.
struct GatewaySetup
{
    HostAnnouncement self;
    std::vector<Endpoint> seeds; //!< Internal addresses of control hosts.
    Topology topology;
    ForwardingHeaders headers;
    RetryPolicy retryPolicy;
    Duration shutdownGrace = std::chrono::seconds(6); //!< From signal to forced kill.
    std::uint64_t bodyMemory = 64ULL * 1024 * 1024; //!< Bytes for bodies of concurrent requests.
    //! Parses the operators' configuration document. @throws Error if it is invalid.
    std::function<RouteTable(ByteView)> decodeConfiguration;
};

/**
 * @brief Entry host of the fleet: admits callers' requests and applies updates of control hosts.
 */
class Gateway
{
public:
    /**
     * @brief Starts listening for callers and connects to the control hosts.
     * @param pool Pool with a single event loop.
     * @param setup Identity and policies.
     * @return The gateway, or ConnectionLost if its address cannot be bound.
     */
    [[nodiscard]] static Result<std::unique_ptr<Gateway>> start(IoPool &pool, GatewaySetup setup);

    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string metricsText() const;
    //! @return True while this host accepts new requests.
    [[nodiscard]] bool ready() const;
    //! Replaces the configured addresses of control hosts.
    void setSeeds(std::vector<Endpoint> seeds);
    //! Begins a graceful shutdown: leaves the look-up results, then finishes running requests.
    void beginShutdown();
    //! Advances a shutdown; must be called periodically. @return True once it is complete.
    [[nodiscard]] bool continueShutdown();

private:
    class Implementation;
    explicit Gateway(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
