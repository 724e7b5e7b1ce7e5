#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/message/claim_message.hpp>

#include <cstdint>
#include <memory>

namespace ggv {

/**
 * @brief Replicated state machine of a claim group: applies encoded commands to a ClaimTable.
 *
 * Used from the thread of its consensus member.
 */
class ClaimStateMachine : public StateMachine
{
public:
    //! @param limits Bounds of the table; must be the same on every member of the group.
    explicit ClaimStateMachine(const ClaimTableLimits &limits = {});
    ~ClaimStateMachine() override;
    ClaimStateMachine(const ClaimStateMachine &) = delete;
    ClaimStateMachine &operator=(const ClaimStateMachine &) = delete;

    /**
     * @brief Encodes the payload of a proposal.
     * @param command Command of an entry host.
     * @param leaderTime Wall-clock time of the proposing leader.
     * @return An encoded ClaimLogEntry.
     */
    [[nodiscard]] static Bytes encodeProposal(ClaimCommand command, UnixMillis leaderTime);

    /**
     * @brief Applies a committed command.
     * @param index Index of the command in the log.
     * @param command An encoded ClaimLogEntry.
     * @return An encoded ClaimReply; empty if the command cannot be decoded.
     */
    Bytes apply(LogIndex index, ByteView command) override;
    [[nodiscard]] Bytes encode() const override;
    //! @throws Error StorageCorrupt if the state is corrupt; the content is then unchanged.
    void restore(ByteView state) override;

    //! @return Reply to a ClaimProbe. Every member may send it without a log entry: an applied
    //! position is committed, and an outdated position only makes the requesting host more
    //! conservative.
    [[nodiscard]] ClaimReply probeReply() const;
    //! @return The table.
    [[nodiscard]] const ClaimTable &table() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
