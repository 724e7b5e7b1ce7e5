#include <ggv/protocol/codec/raft_codec.hpp>

#include <ggv/protocol/codec/detail/raft_fields.hpp>

namespace ggv {

Bytes encodeRaftMessage(const RaftMessage &message) { return detail::encodeValue(message); }

RaftMessage decodeRaftMessage(ByteView bytes) { return detail::decodeValue<RaftMessage>(bytes); }

Bytes encodeMembership(const Membership &membership) { return detail::encodeValue(membership); }

Membership decodeMembership(ByteView bytes) { return detail::decodeValue<Membership>(bytes); }

} // namespace ggv
