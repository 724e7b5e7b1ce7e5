#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ggv {

//! Deterministic content that a quorum replicates.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /**
     * @brief Applies a committed command.
     * @param index Its position.
     * @param command The payload as proposed.
     * @return Answer for the proposer; the same on every member.
     */
    virtual Bytes apply(LogIndex index, ByteView command) = 0;
    //! @return The whole content.
    [[nodiscard]] virtual Bytes encode() const = 0;
    //! Replaces the whole content by encode()d bytes.
    virtual void restore(ByteView state) = 0;
};

//! Timing and sizes of a quorum.
struct RaftOptions
{
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration electionTimeoutMin
        = std::chrono::milliseconds(1000); //!< Also the length of a leader's lease.
    Duration electionTimeoutMax = std::chrono::milliseconds(2000);
    std::uint32_t maxClockDriftPercent = 5; //!< Shortens the leader's lease.
    std::uint64_t maxAppendBytes = std::uint64_t { 1024 } * 1024;
    std::uint64_t snapshotAfterEntries = 1000;
    std::uint64_t seed = 0; //!< Of the election jitter.
};

enum class RaftRole : std::uint8_t { Learner, Follower, Candidate, Leader };

//! Handle of a proposal or read, unique in one process.
using Ticket = std::uint64_t;

//! What became of a proposal or of a confirmed read.
struct Completion
{
    Ticket ticket = 0;
    ResultCode code
        = ResultCode::Ok; //!< Ok, NotLeader (certainly not accepted), ChangeOutcomeUnknown,
                          //!< NoQuorum (no majority would remain after the removal).
    Bytes answer; //!< Of StateMachine::apply(); empty for a read.
};

//! Snapshot of a member's position for status pages.
struct RaftStatus
{
    RaftRole role = RaftRole::Follower;
    Term term = 0;
    MemberId leader = 0; //!< 0: unknown.
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    std::vector<MemberId> voters;
    std::vector<MemberId> learners;
};

//! Everything that the driver has to do after a call.
struct RaftOutput
{
    std::vector<RaftMessage> messages;
    std::vector<Completion> completions;
    bool leadershipChanged = false;
};

/**
 * @brief Consensus of one member: values in, values out; explicit clock; durable through LogStore.
 *
 * Pre-vote, check-quorum, confirmed reads, snapshots, membership changes one member at a time.
 * The driver calls the functions from one thread, then takeOutput() and sends the messages.
 * After an exception the member must not be used any more.
 * Messages may be lost, doubled, late and out of order. State is synced before any output that
 * depends on it is given out.
 */
class Raft
{
public:
    /**
     * @brief Starts a member from what its store holds.
     * @param self Its identity.
     * @param bootstrapVoters The first voters, used only if the store is empty; a member that is
     * not among them starts as a learner that never votes until the quorum takes it in. They are
     * the members of the quorum's very first start: a host that lost its disk gets a new identity
     * and no bootstrap voters. The first leader needs the votes of all of them.
     * @param options Timing and sizes.
     * @param store Durable log; outlives the member.
     * @param machine Replicated content; outlives the member.
     * @param now The current instant.
     * @return The member, or StorageCorrupt.
     */
    [[nodiscard]] static Result<std::unique_ptr<Raft>>
    create(MemberId self, std::vector<MemberId> bootstrapVoters, const RaftOptions &options,
           LogStore &store, StateMachine &machine, Instant now);

    ~Raft();
    Raft(const Raft &) = delete;
    Raft &operator=(const Raft &) = delete;

    //! Handles a message from another member; one that is not for this member is dropped.
    void receive(const RaftMessage &message, Instant now);
    //! Lets time pass: elections, heartbeats, check-quorum.
    void tick(Instant now);
    //! Proposes a command. @return Ticket that a later completion carries.
    [[nodiscard]] Ticket propose(Bytes command, Instant now);
    //! Asks for a read that sees every change accepted before now. @return Ticket.
    [[nodiscard]] Ticket confirmRead(Instant now);
    //! Adds a member: learner first, voter once caught up. @return Ticket.
    [[nodiscard]] Ticket addMember(MemberId member, Instant now);
    //! Removes a member. @return Ticket.
    [[nodiscard]] Ticket removeMember(MemberId member, Instant now);
    //! @return True while no other member can be leader and every accepted change is applied here.
    [[nodiscard]] bool hasLeaderLease(Instant now) const noexcept;
    //! @return When tick() is needed next.
    [[nodiscard]] Instant nextDeadline() const noexcept;
    //! @return What to do; empties it.
    [[nodiscard]] RaftOutput takeOutput();
    //! @return Position and membership.
    [[nodiscard]] RaftStatus status() const;

private:
    class Implementation;
    explicit Raft(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
