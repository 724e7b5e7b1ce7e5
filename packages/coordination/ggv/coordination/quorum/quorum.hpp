#pragma once

#include <ggv/coordination/consensus/raft.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace ggv {

//! What a quorum member needs to start.
struct QuorumSetup
{
    std::string name; //!< For logs.
    std::string filePrefix; //!< Of its files in the data folder.
    MemberId self = 0;
    std::vector<MemberId> bootstrapVoters; //!< Empty for a member that joins a running quorum.
    RaftOptions options;
};

/**
 * @brief Drives one consensus member on a loop: timers, messages, batching of syncs.
 *
 * A storage failure is fatal: the process ends.
 */
class Quorum
{
public:
    using SendHandler = std::function<void(RaftMessage)>;
    using CompletionHandler = std::function<void(const Completion &)>;

    /**
     * @brief Starts the member.
     * @param context Loop.
     * @param disk Data folder; outlives the member.
     * @param setup Identity and timing.
     * @param machine Replicated content; outlives the member.
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
    //! Proposes a command; the handler runs on the loop.
    void propose(Bytes command, CompletionHandler onDone);
    //! Confirms that this member leads and has applied everything accepted before now.
    void confirmRead(CompletionHandler onDone);
    //! Takes in a member.
    void addMember(MemberId member);
    //! Removes a member.
    void removeMember(MemberId member);
    //! @return True while no other member can lead.
    [[nodiscard]] bool hasLeaderLease() const;
    //! @return Position and membership.
    [[nodiscard]] RaftStatus status() const;

private:
    class Implementation;
    explicit Quorum(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
