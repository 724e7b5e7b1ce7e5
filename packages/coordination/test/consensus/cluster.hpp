#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>
#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/log_store.hpp>

#include <storage/fake_disk.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace ggv::test {

using Milliseconds = std::chrono::milliseconds;

//! Thrown when a history violates a safety or liveness property of the consensus.
class InvariantViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

inline void require(bool condition, const std::string &property)
{
    if (!condition)
        throw InvariantViolation(property);
}

inline Bytes encodeNumber(std::uint64_t number)
{
    Bytes bytes(sizeof(number));
    for (auto &byte : bytes) {
        byte = static_cast<std::uint8_t>(number);
        number >>= 8U;
    }
    return bytes;
}

inline std::uint64_t decodeNumber(ByteView bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = std::min(bytes.size(), sizeof(number)); i > 0; --i)
        number = (number << 8U) | bytes[i - 1];
    return number;
}

//! Sequence of commands applied by any member. All members must apply the same sequence.
struct SharedHistory
{
    std::vector<std::uint64_t> commands;

    void check(std::size_t position, std::uint64_t command)
    {
        if (position == commands.size())
            commands.push_back(command);
        require(position < commands.size() && commands[position] == command,
                "state machine safety: members apply different commands");
    }
};

//! Stores the commands in order and replies with the number of commands applied so far. Bytes after
//! the number of a command are payload for derived machines.
class ListStateMachine : public StateMachine
{
public:
    explicit ListStateMachine(SharedHistory &history)
        : m_history(history)
    { }

    Bytes apply(LogIndex, ByteView command) override
    {
        const auto number = decodeNumber(command);
        m_history.check(m_commands.size(), number);
        m_commands.push_back(number);
        return encodeNumber(m_commands.size());
    }

    [[nodiscard]] Bytes encode() const override
    {
        Bytes bytes;
        for (const auto command : m_commands) {
            const Bytes one = encodeNumber(command);
            bytes.insert(bytes.end(), one.begin(), one.end());
        }
        return bytes;
    }

    void restore(ByteView state) override
    {
        m_commands.clear();
        for (; !state.empty(); state = state.subspan(sizeof(std::uint64_t))) {
            const auto number = decodeNumber(state.first(sizeof(std::uint64_t)));
            m_history.check(m_commands.size(), number);
            m_commands.push_back(number);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_commands.size(); }

private:
    SharedHistory &m_history;
    std::vector<std::uint64_t> m_commands;
};

//! Network faults; messages that are not lost arrive after a random delay.
struct NetworkFaults
{
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    Milliseconds minDelay { 1 };
    Milliseconds maxDelay { 5 };
};

//! A member with the disk, clock and process of its host.
struct Member
{
    MemberId id = 0;
    FakeDisk disk;
    std::unique_ptr<ListStateMachine> machine;
    std::unique_ptr<LogStore> store;
    std::unique_ptr<Raft> raft; //!< Null while the process is down.
    std::vector<MemberId> bootstrap;
    unsigned group = 0; //!< Network partition; members in different groups cannot communicate.
    Instant frozenUntil;
    std::int64_t clockPercent = 100; //!< Speed of the local clock relative to real time.
    Instant clockBase; //!< Local time at the last change of clock speed; realBase is the real time.
    Instant realBase;

    [[nodiscard]] bool isUp() const noexcept { return raft != nullptr; }

    [[nodiscard]] Instant localTime(Instant real) const
    {
        return clockBase + (real - realBase) * clockPercent / 100;
    }

    void setClockSpeed(std::int64_t percent, Instant real)
    {
        clockBase = localTime(real);
        realBase = real;
        clockPercent = percent;
    }
};

/**
 * @brief Simulated cluster: members, network and clock in memory.
 *
 * Checked after every step: at most one leader per term, at most one lease holder, one order of
 * commands, linearizable replies. Checked by checkOutcome(): accepted commands are never lost,
 * rejected commands are never applied, and logs that share an entry are equal up to it.
 */
class Cluster
{
public:
    static constexpr Milliseconds Step { 10 };

    using MachineFactory = std::function<std::unique_ptr<ListStateMachine>(SharedHistory &)>;

    explicit Cluster(std::size_t size, std::uint64_t seed, RaftOptions options = {},
                     MachineFactory createMachine
                     = std::make_unique<ListStateMachine, SharedHistory &>)
        : m_options(options)
        , m_createMachine(std::move(createMachine))
        , m_random(seed)
    {
        for (MemberId id = 1; id <= size; ++id)
            m_firstVoters.push_back(id);
        for (const MemberId id : m_firstVoters)
            addHost(id, m_firstVoters);
    }

    NetworkFaults faults;
    //! Messages from one member to another follow each other at this rate; 0 is unlimited. Senders
    //! do not see it: buffers on the way take the whole message.
    std::size_t linkBytesPerSecond = 0;
    //! Time for which a member waits for its disk at each sync of a file or folder.
    Milliseconds syncTime { 0 };

    [[nodiscard]] std::mt19937_64 &random() noexcept { return m_random; }
    [[nodiscard]] Member &member(MemberId id) { return *m_members.at(id); }
    [[nodiscard]] std::map<MemberId, std::unique_ptr<Member>> &members() { return m_members; }
    [[nodiscard]] Instant now() const noexcept { return m_now; }
    [[nodiscard]] const SharedHistory &history() const noexcept { return m_history; }

    //! Starts a new host. Without bootstrap voters it is not a member until the quorum adds it.
    Member &addHost(MemberId id, std::vector<MemberId> bootstrap = {})
    {
        auto host = std::make_unique<Member>();
        host->id = id;
        host->bootstrap = std::move(bootstrap);
        host->realBase = m_now;
        host->clockBase = m_now + Milliseconds(m_random() % 100000);
        Member &added = *m_members.emplace(id, std::move(host)).first->second;
        start(added);
        return added;
    }

    void start(Member &host)
    {
        RaftOptions options = m_options;
        options.seed = m_random();
        host.machine = m_createMachine(m_history);
        host.store = LogStore::open(host.disk, "q-", host.id).value();
        host.raft = Raft::create(host.id, host.bootstrap, options, *host.store, *host.machine,
                                 host.localTime(m_now))
                        .value();
        ++m_starts;
    }

    //! Stops a process and crashes its disk; pending requests of the host never complete.
    void crash(Member &host)
    {
        std::erase_if(m_requests, [&](const auto &it) { return it.second.host == host.id; });
        host.raft.reset();
        host.store.reset();
        host.machine.reset();
        host.disk.crash(m_random);
    }

    //! Removes a host and its disk permanently.
    void destroy(MemberId id)
    {
        crash(member(id));
        m_members.erase(id);
    }

    //! Advances the simulated time.
    void run(Milliseconds duration)
    {
        for (const Instant end = m_now + duration; m_now < end;)
            step();
    }

    //! Advances the simulated time until a condition holds. @return False on timeout.
    template <typename Condition>
    [[nodiscard]] bool runUntil(Condition condition, Milliseconds timeout = Milliseconds(30000))
    {
        for (const Instant end = m_now + timeout; m_now < end;) {
            if (condition())
                return true;
            step();
        }
        return condition();
    }

    //! Returns the leader of the highest term among running members, or null.
    [[nodiscard]] Member *leader()
    {
        Member *found = nullptr;
        Term term = 0;
        for (auto &[id, host] : m_members) {
            if (!host->isUp() || host->raft->status().role != RaftRole::Leader)
                continue;
            if (host->raft->status().term >= term)
                found = host.get();
            term = std::max(term, host->raft->status().term);
        }
        return found;
    }

    [[nodiscard]] Member &waitForLeader()
    {
        require(runUntil([&] { return leader() != nullptr && isReady(*leader()); }),
                "liveness: no leader is elected within the time limit");
        return *leader();
    }

    //! Called for each accepted command with the bytes that a derived machine appended to its
    //! reply.
    std::function<void(std::uint64_t command, ByteView answer)> onAnswer;

    //! Proposes a new command at a member. @param extra Payload for a derived machine.
    //! @return The number of the command.
    std::uint64_t propose(Member &host, const Bytes &extra = {})
    {
        const std::uint64_t command = ++m_lastCommand;
        Bytes bytes = encodeNumber(command);
        bytes.insert(bytes.end(), extra.begin(), extra.end());
        const Ticket ticket = host.raft->propose(std::move(bytes), host.localTime(m_now));
        m_requests[ticket] = { host.id, Kind::Write, command, m_minPosition };
        return command;
    }

    //! Requests a linearizable read from a member.
    Ticket read(Member &host)
    {
        const Ticket ticket = host.raft->confirmRead(host.localTime(m_now));
        m_requests[ticket] = { host.id, Kind::Read, 0, m_minPosition };
        return ticket;
    }

    Ticket changeMember(Member &host, MemberId id, bool add)
    {
        const Instant local = host.localTime(m_now);
        const Ticket ticket
            = add ? host.raft->addMember(id, local) : host.raft->removeMember(id, local);
        m_requests[ticket] = { host.id, Kind::Membership, 0, m_minPosition };
        return ticket;
    }

    //! Proposes commands until one is accepted.
    void proposeUntilAccepted()
    {
        const auto before = m_accepted.size();
        require(runUntil([&] {
                    if (m_accepted.size() > before)
                        return true;
                    Member *host = leader();
                    if (host != nullptr && m_requests.empty())
                        propose(*host);
                    return false;
                }),
                "liveness: no command is accepted within the time limit");
    }

    //! Returns the result of a request, or std::nullopt if it has not completed.
    [[nodiscard]] std::optional<ResultCode> outcome(Ticket ticket) const
    {
        const auto it = m_outcomes.find(ticket);
        return it == m_outcomes.end() ? std::nullopt : std::optional(it->second);
    }

    [[nodiscard]] std::size_t accepted() const noexcept { return m_accepted.size(); }
    [[nodiscard]] std::size_t confirmedReads() const noexcept { return m_confirmedReads; }
    [[nodiscard]] std::size_t pending() const noexcept { return m_requests.size(); }

    //! Partitions the network into the given members and all others; an empty set ends the
    //! partition.
    void setPartition(const std::set<MemberId> &side)
    {
        for (auto &[id, host] : m_members)
            host->group = side.contains(id) ? 1 : 0;
    }

    //! Removes all faults and starts all stopped processes.
    void heal()
    {
        faults = {};
        setPartition({});
        for (auto &[id, host] : m_members) {
            host->frozenUntil = m_now;
            host->disk.limit(~0ULL);
            if (!host->isUp())
                start(*host);
        }
    }

    //! Heals the cluster and checks that it accepts commands again and that the properties hold.
    void checkOutcome()
    {
        heal();
        proposeUntilAccepted();
        require(runUntil([&] { return isSettled(); }),
                "liveness: members do not apply all commands within the time limit");
        checkAccepted();
        checkLogMatching();
    }

    //! Returns true if all running members of the leader's membership have applied all commands.
    [[nodiscard]] bool isSettled()
    {
        Member *host = leader();
        if (host == nullptr || !isReady(*host))
            return false;
        const RaftStatus status = host->raft->status();
        std::vector<MemberId> ids = status.voters;
        ids.insert(ids.end(), status.learners.begin(), status.learners.end());
        return std::all_of(ids.begin(), ids.end(), [&](MemberId id) {
            const auto it = m_members.find(id);
            return it == m_members.end() || !it->second->isUp()
                || it->second->machine->size() == m_history.commands.size();
        });
    }

private:
    enum class Kind { Write, Read, Membership };

    struct Request
    {
        MemberId host = 0;
        Kind kind = Kind::Write;
        std::uint64_t command = 0;
        std::size_t minPosition = 0; // Minimum number of commands that the reply must reflect.
    };

    [[nodiscard]] bool isReady(Member &host) const
    {
        return host.raft->hasLeaderLease(host.localTime(m_now));
    }

    void step()
    {
        m_now += Step;
        for (auto &[id, host] : m_members) {
            if (host->isUp() && host->frozenUntil <= m_now)
                runMember(*host);
        }
        checkLeaders();
    }

    // A disk failure ends the process, as in production.
    void runMember(Member &host)
    {
        try {
            const std::uint64_t waits = host.disk.waits();
            deliver(host);
            observeArrivals(host);
            host.raft->tick(host.localTime(m_now));
            const RaftOutput output = host.raft->takeOutput();
            const auto blockedFor = syncTime * (host.disk.waits() - waits);
            if (blockedFor > Milliseconds(0))
                host.frozenUntil = m_now + blockedFor;
            handle(host, output, blockedFor);
        } catch (const Error &error) {
            require(error.code() == ResultCode::StorageIo, error.what());
            crash(host);
        }
    }

    void deliver(Member &host)
    {
        auto &queue = m_queues[host.id];
        while (!queue.empty() && queue.begin()->first <= m_now) {
            const Bytes bytes = std::move(queue.begin()->second);
            queue.erase(queue.begin());
            host.raft->receive(decodeRaftMessage(bytes), host.localTime(m_now));
        }
    }

    void handle(Member &host, const RaftOutput &output, Milliseconds blockedFor)
    {
        for (const RaftMessage &message : output.messages)
            send(host, message, blockedFor);
        for (const Completion &completion : output.completions)
            complete(host, completion);
    }

    void send(const Member &from, const RaftMessage &message, Milliseconds blockedFor)
    {
        const auto to = m_members.find(message.to);
        if (to == m_members.end() || to->second->group != from.group
            || randomChance(faults.lossPercent))
            return;
        const int copies = randomChance(faults.duplicatePercent) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto range
                = static_cast<std::uint64_t>((faults.maxDelay - faults.minDelay).count());
            const Milliseconds delay = faults.minDelay + Milliseconds(m_random() % (range + 1));
            Bytes bytes = encodeRaftMessage(message);
            const Instant leftAt = transmit(from.id, message.to, m_now + blockedFor, bytes.size());
            m_queues[message.to].emplace(leftAt + delay, std::move(bytes));
        }
    }

    // Returns when the last byte of a message has left the sender.
    Instant transmit(MemberId from, MemberId to, Instant sentAt, std::size_t bytes)
    {
        if (linkBytesPerSecond == 0)
            return sentAt;
        Instant &freeAt = m_linkFreeAt[{ from, to }];
        const Duration time(static_cast<Duration::rep>(bytes * 1'000'000 / linkBytesPerSecond));
        freeAt = std::max(freeAt, sentAt) + time;
        return freeAt;
    }

    // Members see that messages are arriving, as their connections do.
    void observeArrivals(Member &host)
    {
        for (const auto &[link, freeAt] : m_linkFreeAt) {
            if (link.second == host.id && freeAt > m_now + Step)
                host.raft->observeTransfer(link.first, host.localTime(m_now));
        }
    }

    [[nodiscard]] bool randomChance(unsigned percent)
    {
        return percent > 0 && m_random() % 100 < percent;
    }

    void complete(Member &host, const Completion &completion)
    {
        m_outcomes[completion.ticket] = completion.code;
        const auto it = m_requests.find(completion.ticket);
        require(it != m_requests.end(), "completion of an unknown or already completed request");
        const Request request = it->second;
        m_requests.erase(it);
        if (request.kind == Kind::Write)
            completeWrite(request, completion);
        else if (request.kind == Kind::Read && completion.code == ResultCode::Ok)
            completeRead(request, host.machine->size());
    }

    void completeWrite(const Request &request, const Completion &completion)
    {
        if (completion.code == ResultCode::NotLeader)
            m_rejected.insert(request.command);
        if (completion.code != ResultCode::Ok)
            return;
        const auto position = decodeNumber(completion.answer);
        require(position > request.minPosition,
                "linearizability: a write is ordered before a change that was accepted earlier");
        require(m_history.commands.at(position - 1) == request.command,
                "a write completes with the reply to another command");
        m_accepted[request.command] = position;
        m_minPosition = std::max<std::size_t>(m_minPosition, position);
        if (onAnswer)
            onAnswer(request.command, ByteView(completion.answer).subspan(sizeof(position)));
    }

    void completeRead(const Request &request, std::size_t seen)
    {
        require(seen >= request.minPosition,
                "linearizability: a read does not observe an accepted change");
        m_minPosition = std::max(m_minPosition, seen);
        ++m_confirmedReads;
    }

    void checkLeaders()
    {
        unsigned leases = 0;
        for (auto &[id, host] : m_members) {
            if (!host->isUp())
                continue;
            const RaftStatus status = host->raft->status();
            if (status.role == RaftRole::Leader) {
                const auto it = m_leaders.emplace(status.term, id).first;
                require(it->second == id, "election safety: two leaders in one term");
            }
            leases += host->raft->hasLeaderLease(host->localTime(m_now)) ? 1 : 0;
        }
        require(leases <= 1, "lease exclusivity: two members hold the leader lease");
    }

    void checkAccepted() const
    {
        for (const auto &[command, position] : m_accepted)
            require(m_history.commands.at(position - 1) == command,
                    "durability: an accepted command was lost or replaced");
        const std::set<std::uint64_t> applied(m_history.commands.begin(), m_history.commands.end());
        require(applied.size() == m_history.commands.size(), "a command is applied more than once");
        for (const auto command : m_rejected)
            require(!applied.contains(command), "a rejected command is applied");
    }

    void checkLogMatching()
    {
        std::vector<std::vector<LogEntry>> logs;
        for (auto &[id, host] : m_members) {
            FakeDisk copy = host->disk;
            logs.push_back(LogStore::open(copy, "q-", id).value()->takeRecoveredState().entries);
        }
        for (const auto &one : logs) {
            for (const auto &other : logs)
                require(logsMatch(one, other),
                        "log matching: logs that share an entry differ before it");
        }
    }

    // All entries up to the last one that both logs share must be equal.
    static bool logsMatch(const std::vector<LogEntry> &one, const std::vector<LogEntry> &other)
    {
        bool share = false;
        for (auto it = one.rbegin(); it != one.rend(); ++it) {
            if (other.empty() || it->index < other.front().index)
                return true;
            if (it->index > other.back().index)
                continue;
            const LogEntry &counterpart = other[it->index - other.front().index];
            if (share && counterpart != *it)
                return false;
            share = share || counterpart.term == it->term;
            if (share && counterpart != *it)
                return false;
        }
        return true;
    }

    RaftOptions m_options;
    MachineFactory m_createMachine;
    std::mt19937_64 m_random;
    Instant m_now { std::chrono::seconds(1000) };
    std::vector<MemberId> m_firstVoters;
    std::map<MemberId, std::unique_ptr<Member>> m_members;
    std::map<MemberId, std::multimap<Instant, Bytes>> m_queues;
    std::map<std::pair<MemberId, MemberId>, Instant> m_linkFreeAt; //!< By sender and receiver.
    SharedHistory m_history;
    std::map<Term, MemberId> m_leaders;
    std::map<Ticket, Request> m_requests;
    std::map<Ticket, ResultCode> m_outcomes;
    std::map<std::uint64_t, std::uint64_t> m_accepted; // Command number to position in the history.
    std::set<std::uint64_t> m_rejected;
    std::uint64_t m_lastCommand = 0;
    std::size_t m_minPosition = 0;
    std::size_t m_confirmedReads = 0;
    std::size_t m_starts = 0;
};

} // namespace ggv::test
