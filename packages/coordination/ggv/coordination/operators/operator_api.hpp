#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_context.hpp>
#include <ggv/coordination/node/settings.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <string>

namespace ggv {

/**
 * @brief HTTP interface for operators: register, changes, status, health.
 *
 * Health, readiness and metrics are public; all other paths require the bearer token of an
 * operator.
 */
class OperatorApi
{
public:
    /**
     * @brief Creates the interface without opening a port; see listen().
     * @param pool Pool of event loops.
     * @param settings Settings with the operator accounts.
     * @param control The control plane; must outlive the interface.
     * @param context State of the request path; must outlive the interface.
     */
    OperatorApi(IoPool &pool, const Settings &settings, ControlPlane &control,
                EntryContext &context);
    ~OperatorApi();
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;

    //! Starts accepting connections. @throws Error ConnectionLost if the address cannot be bound.
    void listen(const Endpoint &endpoint);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
