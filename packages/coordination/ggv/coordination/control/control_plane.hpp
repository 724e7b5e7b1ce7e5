#pragma once

#include <ggv/coordination/claims/claim_service.hpp>
#include <ggv/coordination/node/settings.hpp>
#include <ggv/coordination/quorum/proposer.hpp>
#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/model/register.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! Parameters of the control plane of a process.
struct ControlSetup
{
    Settings settings;
    std::shared_ptr<const Register> bootstrap; //!< Supplies addresses until a register is received.
    bool initialize = false; //!< True if this start creates a new cluster.
    ProcessId process = 0;
    Instant startedAt {};
};

//! Callbacks from the control plane to the rest of the process; called on the control loop.
struct ControlHandlers
{
    //! Called when a register comes into force.
    std::function<void(std::shared_ptr<const Register>)> onRegister;
    //! Called with each new view of the hosts, as made by the control leader.
    std::function<void(const MembershipView &)> onMembership;
    //! Returns the demand on all budgets since the previous call.
    std::function<std::vector<BudgetDemand>()> takeDemands;
    //! Called when the usable units of a budget may have changed; updates the limits of this host.
    //! @return False if the use of a budget still exceeds its new limit.
    std::function<bool(const BudgetHolder &, Instant)> applyBudgets;
};

//! Status of a quorum member, for status pages.
struct QuorumReport
{
    std::string group;
    RaftStatus status;
    HostName leader;
};

//! State of the control plane, for status pages and metrics.
struct ControlReport
{
    RegisterVersion newest = 0;
    RegisterVersion inForce = 0; //!< 0 if none is in force yet.
    HostName upstream;
    HostName leader;
    MembershipView view;
    std::vector<QuorumReport> quorums;
    std::vector<HostName> connected;
    std::uint64_t bytesSent = 0; //!< Bytes sent to other hosts since the start of the process.
    bool leading = false;
};

/**
 * @brief Control plane of a process, outside the request path: quorums, register distribution, host
 * reports and leases. Runs on one event loop; public functions may be called from any thread.
 */
class ControlPlane
{
public:
    /**
     * @brief Opens the data folder and starts the control plane.
     * @param context Control loop.
     * @param setup Parameters of the process.
     * @param handlers Callbacks, called on the control loop.
     * @return The control plane, or the error that prevents the start.
     */
    [[nodiscard]] static Result<std::unique_ptr<ControlPlane>>
    start(boost::asio::io_context &context, ControlSetup setup, ControlHandlers handlers);

    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /**
     * @brief Forwards a command to the leader of a quorum.
     * @param group Name of a claim group, or empty for the control quorum.
     * @param command Idempotent command.
     * @param deadline Time after which the command is no longer sent.
     * @param onDone Called once with the result, on the control loop.
     */
    void propose(const std::string &group, Bytes command, Instant deadline,
                 Proposer::OutcomeHandler onDone);
    //! Requests a claim from a claim group; see ClaimService. The handler runs on the control loop.
    void claim(const std::string &group, const ClaimRequest &request, Instant deadline,
               ClaimService::OutcomeHandler onOutcome);
    //! Releases a granted claim under which no byte was sent to a target.
    void releaseClaim(const std::string &group, const ClaimRelease &release);
    //! Records the result of a granted claim.
    void completeClaim(const std::string &group, ClaimCompletion completion);
    //! Returns the newest known position of a claim group; read when a request arrives.
    [[nodiscard]] std::uint64_t seenPosition(const std::string &group) const;
    //! Reports this host as leaving in all further host reports.
    void announceLeaving();
    //! Requests leases ahead of schedule; called when requests found no free slot.
    void requestLeaseSoon();
    //! Calls a function with a status report, on the control loop.
    void inspect(std::function<void(const ControlReport &)> onReport);

private:
    class Implementation;
    explicit ControlPlane(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
