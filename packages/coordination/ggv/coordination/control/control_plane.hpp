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

//! How a process takes part in the control of the system.
struct ControlSetup
{
    Settings settings;
    std::shared_ptr<const Register> bootstrap; //!< Addresses until a register is known.
    bool initialize = false; //!< This start creates a new cluster.
    ProcessId process = 0;
    Instant startedAt {};
};

//! What the control plane tells the rest of the process; called on the control loop.
struct ControlHandlers
{
    //! A register came in force.
    std::function<void(std::shared_ptr<const Register>)> onRegister;
    //! The control leader's view of the hosts changed.
    std::function<void(const MembershipView &)> onMembership;
    //! Asks for the use of all budgets.
    std::function<std::vector<BudgetDemand>()> demands;
    //! Usable units may have changed; sets the gates. @return False if one is still above.
    std::function<bool(const BudgetHolder &, Instant)> applyBudgets;
};

//! Position of one quorum member for status pages.
struct QuorumReport
{
    std::string group;
    RaftStatus status;
    HostName leader;
};

//! What the control plane knows, for status pages.
struct ControlReport
{
    RegisterVersion newest = 0;
    RegisterVersion inForce = 0; //!< 0: none yet.
    HostName upstream;
    HostName leader;
    MembershipView view;
    std::vector<QuorumReport> quorums;
    std::vector<HostName> connected;
    std::uint64_t bytesSent = 0; //!< To other hosts since the start.
    bool leading = false;
};

/**
 * @brief Everything of a process that is not on the request path: quorums, distribution of the
 * register, host reports, leases. Runs on one loop; public functions may be called from any thread.
 */
class ControlPlane
{
public:
    /**
     * @brief Opens the data folder and starts.
     * @param context Control loop.
     * @param setup How to take part.
     * @param handlers What to tell.
     * @return The control plane, or the error that prevents the start.
     */
    [[nodiscard]] static Result<std::unique_ptr<ControlPlane>>
    start(boost::asio::io_context &context, ControlSetup setup, ControlHandlers handlers);

    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /**
     * @brief Brings a command to the leader of a quorum.
     * @param group Name of a claim group, or empty for the control quorum.
     * @param command Idempotent command.
     * @param deadline When to give up.
     * @param onDone Called once, on the control loop.
     */
    void propose(const std::string &group, Bytes command, Instant deadline,
                 Proposer::OutcomeHandler onDone);
    //! Asks a claim group for a claim; see ClaimService. The handler runs on the control loop.
    void claim(const std::string &group, const ClaimRequest &request, Instant deadline,
               ClaimService::OutcomeHandler onOutcome);
    //! Gives back a granted claim under which no byte was sent.
    void releaseClaim(const std::string &group, const ClaimRelease &release);
    //! Records the result of a granted claim.
    void completeClaim(const std::string &group, ClaimCompletion completion);
    //! @return Newest known position of a claim group; to be noted when a request arrives.
    [[nodiscard]] std::uint64_t seenPosition(const std::string &group) const;
    //! Reports this host as leaving from now on.
    void announceLeaving();
    //! Asks for leases soon instead of at the next interval: callers found no free slot.
    void requestLeaseSoon();
    //! Calls a function with what is known, on the control loop.
    void inspect(std::function<void(const ControlReport &)> onReport);

private:
    class Implementation;
    explicit ControlPlane(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
