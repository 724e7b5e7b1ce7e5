#pragma once

#include <ggv/coordination/claims/claim_client.hpp>
#include <ggv/coordination/quorum/quorum_set.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Manages the clients of all claim groups on this host and answers calls to the groups of
 * which this host is a member. Used from the control loop only, except seenPosition().
 */
class ClaimService
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;
    //! Receives the id and outcome of a claim; std::nullopt if it was unknown at the deadline.
    using OutcomeHandler = std::function<void(ClaimId, std::optional<ClaimOutcome>)>;

    /**
     * @brief Creates the service.
     * @param claimant Result of createClaimantId().
     * @param quorums Quorums of this host.
     * @param onSend Called to send a message to another host.
     */
    ClaimService(std::uint64_t claimant, QuorumSet &quorums, SendHandler onSend);

    //! Applies the claim groups of a register.
    void setGroups(const std::vector<ClaimGroup> &groups);
    //! Requests a claim. The handler is called once; with std::nullopt immediately if the group is
    //! unknown or too many claims are pending.
    void claim(const std::string &group, const ClaimRequest &request, Instant deadline,
               OutcomeHandler onOutcome);
    //! Releases a granted claim for which no byte was sent to a target.
    void release(const std::string &group, const ClaimRelease &release);
    //! Records the result of a granted claim.
    void complete(const std::string &group, ClaimCompletion completion);
    //! Handles a call as a member of the group.
    void receive(const HostName &from, const ClaimGroupCall &call);
    //! Handles a reply from a member of a group.
    void receive(const ClaimGroupAnswer &answer);
    //! Advances timers of all groups: resends calls and abandons claims at their deadline.
    void tick(Instant now);
    //! @return Latest known position of a group, 0 if unknown; may be called from any thread.
    [[nodiscard]] std::uint64_t seenPosition(const std::string &group) const;

private:
    struct Group
    {
        std::vector<HostName> voters;
        std::unique_ptr<ClaimClient> client;
        std::map<ClaimId, OutcomeHandler> outcomeHandlers;
    };
    using Positions = std::map<std::string, std::shared_ptr<std::atomic<std::uint64_t>>>;

    [[nodiscard]] std::vector<MemberId> membersOf(const std::vector<HostName> &voters) const;
    void processOutput(const std::string &name, Group &group);
    void send(const std::string &group, const OutgoingClaimCall &send);
    void handleCall(const std::string &group, const ClaimCall &call,
                    const std::function<void(ClaimCallAnswer)> &onAnswer);
    void propose(const std::string &group, const ClaimCall &call,
                 std::function<void(ClaimCallAnswer)> onAnswer);

    std::uint64_t m_claimant;
    QuorumSet &m_quorums;
    SendHandler m_onSend;
    std::map<std::string, Group> m_groups;
    std::atomic<std::shared_ptr<const Positions>> m_positions;
    std::shared_ptr<ClaimService *> m_alive; //!< Callbacks may outlive this object.
};

} // namespace ggv
