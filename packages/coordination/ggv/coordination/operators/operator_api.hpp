#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_context.hpp>
#include <ggv/coordination/node/settings.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <string>

namespace ggv {

/**
 * @brief HTTP towards operators: register, changes, status, health.
 *
 * Health, readiness and metrics are open; everything else needs the bearer token of an operator.
 */
class OperatorApi
{
public:
    /**
     * @brief Creates the interface; it listens after listen().
     * @param pool Worker loops.
     * @param settings Accounts of operators.
     * @param control The control plane; outlives the interface.
     * @param context The request path's state; outlives the interface.
     */
    OperatorApi(IoPool &pool, const Settings &settings, ControlPlane &control,
                EntryContext &context);
    ~OperatorApi();
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;

    //! Starts to accept. @throws Error ConnectionLost if the address cannot be bound.
    void listen(const Endpoint &endpoint);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
