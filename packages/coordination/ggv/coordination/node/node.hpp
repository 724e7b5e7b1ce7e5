#pragma once

#include <ggv/coordination/node/settings.hpp>
#include <ggv/state/core/result.hpp>

#include <memory>

namespace ggv {

//! Parameters of a node.
struct NodeSetup
{
    Settings settings;
    bool initialize = false; //!< True if this start creates a new cluster.
};

//! Phase of a graceful shutdown.
enum class ShutdownPhase : std::uint8_t {
    Serving, //!< No shutdown has been requested.
    WaitingForLookups, //!< Look-ups omit this host; cached look-up results may still name it.
    FinishingRequests, //!< Requests in flight are being completed.
    Finished,
};

/**
 * @brief An entry host: control plane, service for callers and API for operators.
 */
class Node
{
public:
    /**
     * @brief Starts the node.
     * @param setup Settings and start parameters.
     * @return The node, or the error that prevents the start.
     */
    [[nodiscard]] static Result<std::unique_ptr<Node>> start(NodeSetup setup);

    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    //! Begins a graceful shutdown: removes this host from look-ups, waits until cached look-up
    //! results have expired, then completes the requests in flight.
    void beginShutdown();
    //! Advances a shutdown; must be called regularly. @return The current phase.
    [[nodiscard]] ShutdownPhase continueShutdown();

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
