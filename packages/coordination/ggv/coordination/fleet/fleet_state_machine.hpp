#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/message/fleet_message.hpp>

#include <functional>

namespace ggv {

/**
 * @brief State machine replicated by the control hosts: configuration, evacuations and addresses
 * of quorum members.
 */
class FleetStateMachine : public StateMachine
{
public:
    //! @param onChange Called after each applied command and after a restore.
    explicit FleetStateMachine(std::function<void()> onChange);

    Bytes apply(LogIndex index, ByteView command) override;
    [[nodiscard]] Bytes encode() const override;
    void restore(ByteView state) override;

    //! @return The state after the last applied command.
    [[nodiscard]] const FleetState &state() const noexcept { return m_state; }

private:
    [[nodiscard]] FleetCommandAnswer apply(LogIndex index, const ChangeConfiguration &change);
    [[nodiscard]] FleetCommandAnswer apply(LogIndex index, const SetEvacuation &change);
    [[nodiscard]] FleetCommandAnswer apply(LogIndex index, const RegisterMember &change);

    FleetState m_state;
    std::function<void()> m_onChange;
};

} // namespace ggv
