#pragma once

#include <ggv/coordination/consensus/raft.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! Draws the options that differ between the members of a quorum: the seed of the election timeouts
//! and the time of the snapshots.
void drawMemberOptions(RaftOptions &options);

//! Parameters of a quorum member.
struct QuorumSetup
{
    std::string name; //!< Name in log events.
    std::string filePrefix; //!< Prefix of its files in the data folder.
    MemberId self = 0;
    std::vector<MemberId> bootstrapVoters; //!< Empty for a member that joins an existing quorum.
    RaftOptions options;
};

/**
 * @brief Runs a Raft member on an event loop: drives its timers, delivers its messages and batches
 * its syncs.
 *
 * A storage failure aborts the process. A full disk suspends the member: it neither votes nor
 * accepts commands, and restarts from the state on the disk once there is room.
 */
class Quorum
{
public:
    using SendHandler = std::function<void(RaftMessage)>;
    using CompletionHandler = std::function<void(const Completion &)>;

    /**
     * @brief Starts the member.
     * @param context Event loop.
     * @param disk Data folder; must outlive the member.
     * @param setup Identity and timing.
     * @param machine Replicated state machine; must outlive the member.
     * @param onSend Sends a message to another member.
     * @return The member, or StorageCorrupt, StorageIdentityMismatch.
     */
    [[nodiscard]] static Result<std::unique_ptr<Quorum>> start(boost::asio::io_context &context,
                                                               Disk &disk, QuorumSetup setup,
                                                               StateMachine &machine,
                                                               SendHandler onSend);

    ~Quorum();
    Quorum(const Quorum &) = delete;
    Quorum &operator=(const Quorum &) = delete;

    //! Handles a message from another member.
    void receive(const RaftMessage &message);
    //! Records that a message from or to a member is on its way, see Raft::observeTransfer().
    void observeTransfer(MemberId member);
    //! Proposes a command. The handler runs on the event loop.
    void propose(Bytes command, CompletionHandler onDone);
    //! Confirms that this member is the leader and has applied every change accepted before this
    //! call. The handler runs on the event loop.
    void confirmRead(CompletionHandler onDone);
    //! Adds a member as a learner; it becomes a voter once its log has caught up.
    void addMember(MemberId member);
    void removeMember(MemberId member);
    //! Returns true while no other member can be leader.
    [[nodiscard]] bool hasLeaderLease() const;
    //! Returns the member's status; a suspended member is a follower without a leader.
    [[nodiscard]] RaftStatus status() const;
    //! Returns true while the disk is full.
    [[nodiscard]] bool isSuspended() const;

private:
    class Implementation;
    explicit Quorum(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
