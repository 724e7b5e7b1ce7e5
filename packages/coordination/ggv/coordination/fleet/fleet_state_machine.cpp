#include <ggv/coordination/fleet/fleet_state_machine.hpp>

#include <ggv/protocol/codec/fleet_codec.hpp>

#include <algorithm>

namespace ggv {

namespace {

//! Number of accepted versions that are retained in order to recognise a resent change.
constexpr std::size_t MaxAcceptedVersions = 20'000;
//! Number of member addresses that are retained.
constexpr std::size_t MaxKnownMembers = 200;

template <typename Value>
void retainNewest(std::vector<Value> &values, std::size_t count)
{
    if (values.size() > count)
        values.erase(values.begin(), values.end() - static_cast<std::ptrdiff_t>(count));
}

} // namespace

FleetStateMachine::FleetStateMachine(std::function<void()> onChange)
    : m_onChange(std::move(onChange))
{ }

Bytes FleetStateMachine::apply(LogIndex index, ByteView command)
{
    const auto decoded = decodeFleetCommand(command);
    const auto answer
        = std::visit([this, index](const auto &change) { return apply(index, change); }, decoded);
    m_onChange();
    return encodeFleetCommandAnswer(answer);
}

FleetCommandAnswer FleetStateMachine::apply(LogIndex index, const ChangeConfiguration &change)
{
    const AcceptedVersion accepted { change.version, change.digest };
    if (std::find(m_state.accepted.begin(), m_state.accepted.end(), accepted)
        != m_state.accepted.end())
        return { ResultCode::Ok, m_state.version };
    if (change.baseVersion != m_state.version || change.version <= m_state.version)
        return { ResultCode::VersionConflict, m_state.version };
    m_state.revision = index;
    m_state.version = change.version;
    m_state.configuration = change.document;
    m_state.accepted.push_back(accepted);
    retainNewest(m_state.accepted, MaxAcceptedVersions);
    return { ResultCode::Ok, m_state.version };
}

FleetCommandAnswer FleetStateMachine::apply(LogIndex index, const SetEvacuation &change)
{
    auto &evacuated = m_state.evacuated;
    const auto it = std::find(evacuated.begin(), evacuated.end(), change.domain);
    const bool isEvacuated = it != evacuated.end();
    if (isEvacuated == change.evacuated)
        return { ResultCode::Ok, m_state.version };
    if (change.evacuated)
        evacuated.push_back(change.domain);
    else
        evacuated.erase(it);
    m_state.revision = index;
    return { ResultCode::Ok, m_state.version };
}

FleetCommandAnswer FleetStateMachine::apply(LogIndex, const RegisterMember &change)
{
    auto &members = m_state.members;
    std::erase_if(members, [&](const RegisterMember &it) { return it.member == change.member; });
    members.push_back(change);
    retainNewest(members, MaxKnownMembers);
    return { ResultCode::Ok, m_state.version };
}

Bytes FleetStateMachine::encode() const { return encodeFleetState(m_state); }

void FleetStateMachine::restore(ByteView state)
{
    m_state = decodeFleetState(state);
    m_onChange();
}

} // namespace ggv
