#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/state/log/event_log.hpp>

#include <cstdlib>
#include <unordered_map>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

class Quorum::Implementation : public std::enable_shared_from_this<Quorum::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, QuorumSetup setup, SendHandler onSend)
        : m_context(context)
        , m_timer(context)
        , m_setup(std::move(setup))
        , m_onSend(std::move(onSend))
    { }

    // Calls a function with the Raft member; aborts the process on a storage failure.
    template <typename Function>
    auto callOrAbort(Function function)
    {
        try {
            return function(*m_raft);
        } catch (const Error &error) {
            logEvent(LogLevel::Error, "storage-failed",
                     { { "quorum", m_setup.name }, { "reason", error.what() } });
            flushEventLog();
            std::abort();
        }
    }

    // Events of the same event loop iteration share one sync.
    void scheduleFlush()
    {
        if (std::exchange(m_flushPending, true))
            return;
        boost::asio::post(m_context, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->flush();
        });
    }

    void flush()
    {
        m_flushPending = false;
        RaftOutput output = callOrAbort([](Raft &raft) { return raft.takeOutput(); });
        for (auto &message : output.messages)
            m_onSend(std::move(message));
        for (const auto &completion : output.completions)
            notifyCompletion(completion);
        if (output.leadershipChanged)
            logLeadership();
        armTimer();
    }

    void notifyCompletion(const Completion &completion)
    {
        const auto it = m_completionHandlers.find(completion.ticket);
        if (it == m_completionHandlers.end())
            return;
        auto handler = std::move(it->second);
        m_completionHandlers.erase(it);
        handler(completion);
    }

    void logLeadership() const
    {
        const auto status = m_raft->status();
        logEvent(LogLevel::Info, "leader-changed",
                 { { "quorum", m_setup.name },
                   { "term", status.term },
                   { "leader", status.leader },
                   { "self", status.role == RaftRole::Leader },
                   { "voters", status.voters.size() } });
    }

    void armTimer()
    {
        const Instant deadline = m_raft->nextDeadline();
        if (deadline == m_timerDeadline)
            return;
        m_timerDeadline = deadline;
        m_timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (ec || !self)
                return;
            self->m_timerDeadline = Instant::min();
            self->callOrAbort([](Raft &raft) { raft.tick(monotonicNow()); });
            self->flush();
        });
    }

    void registerHandler(Ticket ticket, CompletionHandler onDone)
    {
        m_completionHandlers.emplace(ticket, std::move(onDone));
        scheduleFlush();
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    QuorumSetup m_setup;
    SendHandler m_onSend;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Raft> m_raft;
    std::unordered_map<Ticket, CompletionHandler> m_completionHandlers;
    Instant m_timerDeadline = Instant::min();
    bool m_flushPending = false;
};

Quorum::Quorum(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

Quorum::~Quorum() = default;

Result<std::unique_ptr<Quorum>> Quorum::start(boost::asio::io_context &context, Disk &disk,
                                              QuorumSetup setup, StateMachine &machine,
                                              SendHandler onSend)
{
    try {
        auto implementation
            = std::make_shared<Implementation>(context, std::move(setup), std::move(onSend));
        const auto &started = implementation->m_setup;
        implementation->m_store = LogStore::open(disk, started.filePrefix, started.self).value();
        implementation->m_raft
            = Raft::create(started.self, started.bootstrapVoters, started.options,
                           *implementation->m_store, machine, monotonicNow())
                  .value();
        implementation->scheduleFlush();
        return std::unique_ptr<Quorum>(new Quorum(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

void Quorum::receive(const RaftMessage &message)
{
    m_implementation->callOrAbort([&](Raft &raft) { raft.receive(message, monotonicNow()); });
    m_implementation->scheduleFlush();
}

void Quorum::propose(Bytes command, CompletionHandler onDone)
{
    const Ticket ticket = m_implementation->callOrAbort(
        [&](Raft &raft) { return raft.propose(std::move(command), monotonicNow()); });
    m_implementation->registerHandler(ticket, std::move(onDone));
}

void Quorum::confirmRead(CompletionHandler onDone)
{
    const Ticket ticket = m_implementation->callOrAbort(
        [](Raft &raft) { return raft.confirmRead(monotonicNow()); });
    m_implementation->registerHandler(ticket, std::move(onDone));
}

void Quorum::addMember(MemberId member)
{
    const Ticket ticket = m_implementation->callOrAbort(
        [member](Raft &raft) { return raft.addMember(member, monotonicNow()); });
    m_implementation->registerHandler(ticket, [](const Completion &) {});
}

void Quorum::removeMember(MemberId member)
{
    const Ticket ticket = m_implementation->callOrAbort(
        [member](Raft &raft) { return raft.removeMember(member, monotonicNow()); });
    m_implementation->registerHandler(ticket, [](const Completion &) {});
}

bool Quorum::hasLeaderLease() const
{
    return m_implementation->m_raft->hasLeaderLease(monotonicNow());
}

RaftStatus Quorum::status() const { return m_implementation->m_raft->status(); }

} // namespace ggv
