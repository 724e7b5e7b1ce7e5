#include <ggv/protocol/codec/raft_codec.hpp>

#include <ggv/protocol/codec/detail/msgpack_reader.hpp>
#include <ggv/protocol/codec/detail/msgpack_writer.hpp>

#include <type_traits>
#include <utility>

namespace ggv {

namespace {

using detail::MsgpackReader;
using detail::MsgpackWriter;

// Reads alternative number `kind` of the body; the number is its place in RaftBody.
template <std::size_t... Kinds>
RaftBody readBody(const MsgpackReader &reader, std::size_t kind, std::index_sequence<Kinds...>)
{
    RaftBody body;
    const auto readOne = [&]<std::size_t Kind>() {
        body = reader.as<std::variant_alternative_t<Kind, RaftBody>>();
        return true;
    };
    if (!((kind == Kinds && readOne.template operator()<Kinds>()) || ...))
        detail::throwViolation("unknown kind of message");
    return body;
}

} // namespace

// Found by argument-dependent look-up from MsgpackWriter and MsgpackReader.

static void put(MsgpackWriter &out, const LogEntry &it)
{
    out.fields(it.index, it.term, it.kind, it.payload);
}

static void get(const MsgpackReader &in, LogEntry &it)
{
    in.fields(it.index, it.term, it.kind, it.payload);
}

static void put(MsgpackWriter &out, const Snapshot &it)
{
    out.fields(it.index, it.term, it.members, it.state);
}

static void get(const MsgpackReader &in, Snapshot &it)
{
    in.fields(it.index, it.term, it.members, it.state);
}

static void put(MsgpackWriter &out, const VoteRequest &it)
{
    out.fields(it.term, it.lastIndex, it.lastTerm, it.preVote);
}

static void get(const MsgpackReader &in, VoteRequest &it)
{
    in.fields(it.term, it.lastIndex, it.lastTerm, it.preVote);
}

static void put(MsgpackWriter &out, const VoteAnswer &it)
{
    out.fields(it.term, it.granted, it.preVote);
}

static void get(const MsgpackReader &in, VoteAnswer &it)
{
    in.fields(it.term, it.granted, it.preVote);
}

static void put(MsgpackWriter &out, const AppendRequest &it)
{
    out.fields(it.term, it.previousIndex, it.previousTerm, it.commitIndex, it.readRound,
               it.entries);
}

static void get(const MsgpackReader &in, AppendRequest &it)
{
    in.fields(it.term, it.previousIndex, it.previousTerm, it.commitIndex, it.readRound, it.entries);
}

static void put(MsgpackWriter &out, const AppendAnswer &it)
{
    out.fields(it.term, it.accepted, it.lastIndex, it.readRound);
}

static void get(const MsgpackReader &in, AppendAnswer &it)
{
    in.fields(it.term, it.accepted, it.lastIndex, it.readRound);
}

static void put(MsgpackWriter &out, const InstallSnapshot &it)
{
    out.fields(it.term, it.readRound, it.snapshot);
}

static void get(const MsgpackReader &in, InstallSnapshot &it)
{
    in.fields(it.term, it.readRound, it.snapshot);
}

static void put(MsgpackWriter &out, const RaftMessage &it)
{
    out.beginArray(4);
    out.value(it.from);
    out.value(it.to);
    out.value(it.body.index());
    std::visit([&out](const auto &body) { out.value(body); }, it.body);
}

static void get(const MsgpackReader &in, RaftMessage &it)
{
    std::size_t kind = 0;
    if (in.size() != 4)
        detail::throwViolation("wrong number of fields");
    in[0].read(it.from);
    in[1].read(it.to);
    in[2].read(kind);
    constexpr auto Kinds = std::make_index_sequence<std::variant_size_v<RaftBody>> {};
    it.body = readBody(in[3], kind, Kinds);
}

static void put(MsgpackWriter &out, const Membership &it) { out.fields(it.voters, it.learners); }

static void get(const MsgpackReader &in, Membership &it) { in.fields(it.voters, it.learners); }

Bytes encodeRaftMessage(const RaftMessage &message)
{
    MsgpackWriter writer;
    writer.value(message);
    return writer.take();
}

RaftMessage decodeRaftMessage(ByteView bytes) { return detail::decodeAll<RaftMessage>(bytes); }

Bytes encodeMembership(const Membership &membership)
{
    MsgpackWriter writer;
    writer.value(membership);
    return writer.take();
}

Membership decodeMembership(ByteView bytes) { return detail::decodeAll<Membership>(bytes); }

} // namespace ggv
