#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/message/claim_message.hpp>

#include <cstdint>
#include <memory>

namespace ggv {

/**
 * @brief The content that a claim group replicates: a ClaimTable behind encoded commands.
 *
 * Used from the thread of its consensus member.
 */
class ClaimStateMachine : public StateMachine
{
public:
    //! @param limits Bounds of the table; the same on every member of the group.
    explicit ClaimStateMachine(const ClaimTableLimits &limits = {});
    ~ClaimStateMachine() override;
    ClaimStateMachine(const ClaimStateMachine &) = delete;
    ClaimStateMachine &operator=(const ClaimStateMachine &) = delete;

    /**
     * @brief Makes the payload to propose.
     * @param command What an entry host asks.
     * @param leaderTime Wall clock of the proposing leader.
     * @return An encoded ClaimLogEntry.
     */
    [[nodiscard]] static Bytes proposalOf(ClaimCommand command, UnixMillis leaderTime);

    /**
     * @brief Applies a committed command.
     * @param index Its position in the log.
     * @param command An encoded ClaimLogEntry.
     * @return An encoded ClaimReply; empty if the command cannot be decoded.
     */
    Bytes apply(LogIndex index, ByteView command) override;
    [[nodiscard]] Bytes encode() const override;
    //! @throws Error StorageCorrupt if the state is damaged; the content is then unchanged.
    void restore(ByteView state) override;

    //! @return Answer to a ClaimProbe. Every member may give it without a log entry: a position
    //! that it has applied is committed, and an old one only makes the asking host more cautious.
    [[nodiscard]] ClaimReply probeReply() const;
    //! @return The table.
    [[nodiscard]] const ClaimTable &table() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
