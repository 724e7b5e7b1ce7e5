#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>

#include <benchmark/benchmark.h>

#include <map>
#include <string>

namespace {

using namespace ggv;

constexpr std::size_t CommandBytes = 200;

// In-memory disk: excludes storage latency, so that only the cost of consensus is measured.
class InMemoryDisk : public Disk
{
public:
    std::optional<Bytes> read(std::string_view name) override
    {
        const auto it = m_files.find(std::string(name));
        return it == m_files.end() ? std::nullopt : std::optional(it->second);
    }
    void append(std::string_view name, ByteView bytes) override
    {
        Bytes &file = m_files[std::string(name)];
        file.insert(file.end(), bytes.begin(), bytes.end());
    }
    void truncate(std::string_view name, std::uint64_t size) override
    {
        m_files[std::string(name)].resize(size);
    }
    void sync(std::string_view) override { }
    void replace(std::string_view name, ByteView bytes) override
    {
        m_files[std::string(name)].assign(bytes.begin(), bytes.end());
    }
    void remove(std::string_view name) override { m_files.erase(std::string(name)); }
    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : m_files)
            names.push_back(name);
        return names;
    }

private:
    std::map<std::string, Bytes> m_files;
};

class NoOpStateMachine : public StateMachine
{
public:
    Bytes apply(LogIndex, ByteView) override { return {}; }
    [[nodiscard]] Bytes encode() const override { return {}; }
    void restore(ByteView) override { }
};

struct Member
{
    InMemoryDisk disk;
    NoOpStateMachine machine;
    std::unique_ptr<LogStore> store;
    std::unique_ptr<Raft> raft;
};

// Raft members that exchange encoded messages in memory, without network delay.
class RaftGroup
{
public:
    explicit RaftGroup(std::size_t size)
    {
        std::vector<MemberId> voters;
        for (MemberId id = 1; id <= size; ++id)
            voters.push_back(id);
        for (const MemberId id : voters)
            start(id, voters);
        while (m_leader == nullptr)
            elect();
    }

    //! Proposes commands at the leader. @return Number of completed proposals.
    std::size_t propose(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            static_cast<void>(m_leader->propose(Bytes(CommandBytes), m_now));
        return deliverMessages();
    }

private:
    void start(MemberId id, const std::vector<MemberId> &voters)
    {
        Member &member = m_members[id];
        RaftOptions options;
        options.seed = id;
        member.store = LogStore::open(member.disk, "bench-", id).value();
        member.raft
            = Raft::create(id, voters, options, *member.store, member.machine, m_now).value();
    }

    void elect()
    {
        m_now += std::chrono::milliseconds(50);
        for (auto &[id, member] : m_members)
            member.raft->tick(m_now);
        deliverMessages();
        for (auto &[id, member] : m_members) {
            if (member.raft->hasLeaderLease(m_now))
                m_leader = member.raft.get();
        }
    }

    std::size_t deliverMessages()
    {
        std::size_t accepted = 0;
        for (bool sent = true; sent;) {
            sent = false;
            for (auto &[id, member] : m_members) {
                const RaftOutput output = member.raft->takeOutput();
                accepted += output.completions.size();
                sent = sent || !output.messages.empty();
                for (const RaftMessage &message : output.messages)
                    deliver(encodeRaftMessage(message));
            }
        }
        return accepted;
    }

    void deliver(const Bytes &bytes)
    {
        const RaftMessage message = decodeRaftMessage(bytes);
        m_members.at(message.to).raft->receive(message, m_now);
    }

    Instant m_now { std::chrono::seconds(10) };
    std::map<MemberId, Member> m_members;
    Raft *m_leader = nullptr;
};

void propose(benchmark::State &state)
{
    RaftGroup group(static_cast<std::size_t>(state.range(0)));
    std::size_t accepted = 0;
    for ([[maybe_unused]] auto _ : state)
        accepted += group.propose(static_cast<std::size_t>(state.range(1)));
    state.SetItemsProcessed(static_cast<std::int64_t>(accepted));
}

BENCHMARK(propose)->ArgsProduct({ { 1, 3, 5 }, { 1, 16, 256 } })->ArgNames({ "members", "batch" });

} // namespace
