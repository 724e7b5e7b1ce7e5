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

//! What an entry host of the fleet needs to start.
struct GatewaySetup
{
    HostAnnouncement self;
    std::vector<Endpoint> seeds; //!< Internal addresses of control hosts.
    Topology topology;
    ForwardingHeaders headers;
    RetryPolicy retryPolicy;
    Duration shutdownGrace = std::chrono::seconds(6); //!< From the request to end to the kill.
    //! Reads the operators' document. @throws Error if it is invalid.
    std::function<RouteTable(ByteView)> decodeConfiguration;
};

/**
 * @brief An entry host of the fleet: takes callers' requests, follows the control hosts.
 */
class Gateway
{
public:
    /**
     * @brief Starts it.
     * @param pool One loop.
     * @param setup Identity and rules.
     * @return The gateway, or ConnectionLost if its address cannot be bound.
     */
    [[nodiscard]] static Result<std::unique_ptr<Gateway>> start(IoPool &pool, GatewaySetup setup);

    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! @return All metrics in the text format of Prometheus.
    [[nodiscard]] std::string metricsText() const;
    //! @return True while this host takes new work.
    [[nodiscard]] bool ready() const;
    //! Replaces the addresses of control hosts that are known without asking.
    void setSeeds(std::vector<Endpoint> seeds);
    //! Begins a graceful shutdown: out of look-ups, then requests are finished.
    void beginShutdown();
    //! Lets a shutdown go on; call regularly. @return True once nothing is left to do.
    [[nodiscard]] bool continueShutdown();

private:
    class Implementation;
    explicit Gateway(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
