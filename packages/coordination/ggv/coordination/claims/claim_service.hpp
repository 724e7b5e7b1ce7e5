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
 * @brief This host's clients of all claim groups, and the leader's side of the groups that it
 * leads. Belongs to the control loop, except seenPosition().
 */
class ClaimService
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;
    //! Gets the outcome of a claim and its id; nothing if it was not known by the deadline.
    using OutcomeHandler = std::function<void(ClaimId, std::optional<ClaimOutcome>)>;

    /**
     * @brief Creates the desk.
     * @param process Of this process.
     * @param quorums Quorums of this host.
     * @param onSend Sends to another host.
     */
    ClaimService(ProcessId process, QuorumSet &quorums, SendHandler onSend);

    //! Learns the groups of a register.
    void setGroups(const std::vector<ClaimGroup> &groups);
    //! Asks for a claim. The handler is called once; a claim too many is not known at once.
    void claim(const std::string &group, const ClaimRequest &request, Instant deadline,
               OutcomeHandler onOutcome);
    //! Gives back a granted claim under which no byte was sent.
    void release(const std::string &group, const ClaimRelease &release);
    //! Records the result of a granted claim.
    void complete(const std::string &group, ClaimCompletion completion);
    //! Handles a call as a member of the group.
    void receive(const HostName &from, const ClaimGroupCall &call);
    //! Handles an answer.
    void receive(const ClaimGroupAnswer &answer);
    //! Lets time pass.
    void tick(Instant now);
    //! @return Newest known position of a group; may be read from any thread.
    [[nodiscard]] std::uint64_t seenPosition(const std::string &group) const;

private:
    struct Group
    {
        std::vector<HostName> voters;
        std::unique_ptr<ClaimClient> client;
        std::map<ClaimId, OutcomeHandler> waiting;
    };
    using Positions = std::map<std::string, std::shared_ptr<std::atomic<std::uint64_t>>>;

    [[nodiscard]] std::vector<MemberId> membersOf(const std::vector<HostName> &voters) const;
    void perform(const std::string &name, Group &group);
    void send(const std::string &group, const OutgoingClaimCall &send);
    void answer(const std::string &group, const ClaimCall &call,
                const std::function<void(ClaimCallAnswer)> &onAnswer);
    void propose(const std::string &group, const ClaimCall &call,
                 std::function<void(ClaimCallAnswer)> onAnswer);

    ProcessId m_process;
    QuorumSet &m_quorums;
    SendHandler m_onSend;
    std::map<std::string, Group> m_groups;
    std::atomic<std::shared_ptr<const Positions>> m_positions;
    std::shared_ptr<ClaimService *> m_alive; //!< Completions may outlive this object.
};

} // namespace ggv
