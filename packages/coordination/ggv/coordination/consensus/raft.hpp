#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ggv {

//! Deterministic state machine that a quorum replicates.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /**
     * @brief Applies a committed command.
     * @param index Log index of the command.
     * @param command The payload as proposed.
     * @return The reply to the proposer; identical on every member.
     */
    virtual Bytes apply(LogIndex index, ByteView command) = 0;
    //! Returns the complete state, serialized.
    [[nodiscard]] virtual Bytes encode() const = 0;
    //! Replaces the complete state by the output of encode().
    virtual void restore(ByteView state) = 0;
};

//! Timing and size limits of a quorum.
struct RaftOptions
{
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration electionTimeoutMin
        = std::chrono::milliseconds(1000); //!< Also the duration of the leader lease.
    Duration electionTimeoutMax = std::chrono::milliseconds(2000);
    //! Time since the last complete message up to which a transfer counts as contact.
    Duration maxTransferTime = std::chrono::seconds(5);
    std::uint32_t maxClockDriftPercent = 5; //!< Maximum clock drift; shortens the leader lease.
    std::uint64_t maxAppendBytes = std::uint64_t { 1024 } * 1024;
    std::uint64_t snapshotAfterEntries = 1000;
    std::uint64_t snapshotAfterBytes = std::uint64_t { 8 } * 1024 * 1024; //!< Payload of entries.
    //! Payload that counts as applied when a member starts. Members with different offsets take
    //! their snapshots at different times, so that they do not wait for their disks all at once.
    std::uint64_t snapshotOffset = 0;
    //! Payload of the entries before a snapshot that stay in memory.
    std::uint64_t retainedBytes = std::uint64_t { 8 } * 1024 * 1024;
    //! The same while a member in contact still needs the entries.
    std::uint64_t maxRetainedBytes = std::uint64_t { 32 } * 1024 * 1024;
    std::uint64_t seed = 0; //!< Seed of the election jitter.
};

enum class RaftRole : std::uint8_t { Learner, Follower, Candidate, Leader };

//! Identifies a proposal, read or membership change; unique within a process.
using Ticket = std::uint64_t;

//! Result of a proposal, a confirmed read or a membership change.
struct Completion
{
    Ticket ticket = 0;
    ResultCode code
        = ResultCode::Ok; //!< Ok, NotLeader (certainly not accepted), ChangeOutcomeUnknown,
                          //!< NoQuorum (the removal would leave no reachable majority).
    Bytes answer; //!< Result of StateMachine::apply(); empty for a read.
};

//! Status of a member, for status pages.
struct RaftStatus
{
    RaftRole role = RaftRole::Follower;
    Term term = 0;
    MemberId leader = 0; //!< 0 if unknown.
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    std::uint64_t logEntries = 0; //!< Number of entries in memory.
    std::uint64_t logBytes = 0; //!< Payload of the entries in memory.
    std::uint64_t snapshotBytes = 0; //!< State of the latest snapshot.
    std::vector<MemberId> voters;
    std::vector<MemberId> learners;
    //! Last time at which a follower had applied every entry that its leader reported as committed.
    Instant caughtUpAt = Instant::min();
    std::vector<MemberId> inContact; //!< Members that a leader has recently heard; with itself.
    //! False once the removal of this member is known to be committed, and before it is added.
    bool isMember = false;
};

//! Messages to send and completions to deliver after a call.
struct RaftOutput
{
    std::vector<RaftMessage> messages;
    std::vector<Completion> completions;
    bool leadershipChanged = false;
};

/**
 * @brief Raft consensus member without I/O of its own: the caller passes in messages and the time
 * and sends the resulting messages. State is made durable through a LogStore.
 *
 * Implements pre-vote, check-quorum, linearizable reads, snapshots and membership changes of one
 * member at a time. The driver calls the functions from one thread, then calls takeOutput() and
 * sends the messages. The member must not be used after one of its functions has thrown.
 * Messages may be lost, duplicated, delayed and reordered. State is synced before takeOutput()
 * returns any output that depends on it.
 */
class Raft
{
public:
    /**
     * @brief Creates a member and recovers its state from the store.
     * @param self Identity of the member.
     * @param bootstrapVoters Initial voters of the quorum, used only if the store is empty. A
     * member that is not among them starts as a learner and does not vote until the quorum has
     * added it. They are the members at the first start of the quorum: a host that lost its disk
     * gets a new identity and no bootstrap voters. The first leader needs the votes of all of them.
     * @param options Timing and size limits.
     * @param store Durable log; must outlive the member.
     * @param machine Replicated state machine; must outlive the member.
     * @param now The current time.
     * @return The member, or StorageCorrupt.
     */
    [[nodiscard]] static Result<std::unique_ptr<Raft>>
    create(MemberId self, std::vector<MemberId> bootstrapVoters, const RaftOptions &options,
           LogStore &store, StateMachine &machine, Instant now);

    ~Raft();
    Raft(const Raft &) = delete;
    Raft &operator=(const Raft &) = delete;

    //! Handles a message from another member. Messages addressed to other members are ignored.
    void receive(const RaftMessage &message, Instant now);
    //! Records that a message from or to a member is on its way and its bytes keep moving. A long
    //! message delays the heartbeats behind it; this is no silence.
    void observeTransfer(MemberId member, Instant now);
    //! Advances timers: starts elections, schedules heartbeats and runs check-quorum.
    void tick(Instant now);
    //! Proposes a command. @return Ticket of its completion.
    [[nodiscard]] Ticket propose(Bytes command, Instant now);
    //! Requests a linearizable read, which observes every change accepted before this call.
    //! @return Ticket of its completion.
    [[nodiscard]] Ticket confirmRead(Instant now);
    //! Adds a member as a learner; it becomes a voter once its log has caught up.
    //! @return Ticket of its completion.
    [[nodiscard]] Ticket addMember(MemberId member, Instant now);
    //! Removes a member. @return Ticket of its completion.
    [[nodiscard]] Ticket removeMember(MemberId member, Instant now);
    //! Returns true while no other member can be leader and this member has applied every accepted
    //! change.
    [[nodiscard]] bool hasLeaderLease(Instant now) const noexcept;
    //! Returns the time at which tick() must be called next.
    [[nodiscard]] Instant nextDeadline() const noexcept;
    //! Makes pending state durable, then returns the accumulated output and clears it.
    [[nodiscard]] RaftOutput takeOutput();
    [[nodiscard]] RaftStatus status() const;

private:
    class Implementation;
    explicit Raft(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
