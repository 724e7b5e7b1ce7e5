#pragma once

#include <ggv/coordination/node/settings.hpp>
#include <ggv/state/core/result.hpp>

#include <memory>

namespace ggv {

//! How a process starts.
struct NodeSetup
{
    Settings settings;
    bool initialize = false; //!< This start creates a new cluster.
};

//! How far a graceful shutdown has come.
enum class ShutdownPhase : std::uint8_t {
    Serving, //!< Not asked for.
    WaitingForLookups, //!< Left out of look-ups; cached answers may still name this host.
    FinishingRequests, //!< Requests in flight are finished.
    Finished,
};

/**
 * @brief A whole entry host: control plane, callers' side, operators' side.
 */
class Node
{
public:
    /**
     * @brief Starts all parts.
     * @param setup Settings and how to start.
     * @return The node, or the error that prevents the start.
     */
    [[nodiscard]] static Result<std::unique_ptr<Node>> start(NodeSetup setup);

    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    //! Begins a graceful shutdown: off the look-ups first, then cached answers, then requests.
    void beginShutdown();
    //! Lets a shutdown go on; call regularly. @return How far it has come.
    [[nodiscard]] ShutdownPhase continueShutdown();

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
