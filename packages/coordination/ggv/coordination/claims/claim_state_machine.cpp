#include <ggv/coordination/claims/claim_state_machine.hpp>

#include <ggv/protocol/codec/claim_codec.hpp>

#include <utility>

namespace ggv {

namespace {

using ReplyContent = decltype(ClaimReply::content);

// Visitor that applies a command to the table.
struct CommandVisitor
{
    ClaimTable &table;
    UnixMillis time;

    ReplyContent operator()(const ClaimRequest &request) const
    {
        return table.claim(request, time);
    }

    ReplyContent operator()(const ClaimCompletion &completion) const
    {
        return ClaimSettlement { table.complete(completion, time) };
    }

    ReplyContent operator()(const ClaimRelease &release) const
    {
        return ClaimSettlement { table.release(release, time) };
    }

    ReplyContent operator()(const ClaimProbe &) const
    {
        table.advancePosition(time);
        return ClaimSettlement { true };
    }
};

} // namespace

class ClaimStateMachine::Implementation
{
public:
    explicit Implementation(const ClaimTableLimits &limits)
        : m_limits(limits)
        , m_table(limits)
    { }

    [[nodiscard]] ClaimReply apply(const ClaimLogEntry &entry)
    {
        ClaimReply reply;
        reply.content = std::visit(CommandVisitor { m_table, entry.time }, entry.command);
        reply.position = m_table.position();
        return reply;
    }

    void restore(ByteView state) { m_table = ClaimTable::decode(state, m_limits); }

    [[nodiscard]] const ClaimTable &table() const noexcept { return m_table; }

private:
    ClaimTableLimits m_limits;
    ClaimTable m_table;
};

ClaimStateMachine::ClaimStateMachine(const ClaimTableLimits &limits)
    : m_implementation(std::make_unique<Implementation>(limits))
{ }

ClaimStateMachine::~ClaimStateMachine() = default;

Bytes ClaimStateMachine::encodeProposal(ClaimCommand command, UnixMillis leaderTime)
{
    return encodeClaimLogEntry({ leaderTime, std::move(command) });
}

Bytes ClaimStateMachine::apply(LogIndex /*index*/, ByteView command)
{
    try {
        const auto entry = decodeClaimLogEntry(command);
        return encodeClaimReply(m_implementation->apply(entry));
    } catch (const Error &error) {
        // All members find the same invalid command in their log and skip it.
        if (error.code() == ResultCode::ProtocolViolation)
            return {};
        throw;
    }
}

ClaimReply ClaimStateMachine::probeReply() const
{
    return { m_implementation->table().position(), ClaimSettlement { true } };
}

Bytes ClaimStateMachine::encode() const { return m_implementation->table().encode(); }

void ClaimStateMachine::restore(ByteView state) { m_implementation->restore(state); }

const ClaimTable &ClaimStateMachine::table() const noexcept { return m_implementation->table(); }

} // namespace ggv
