#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <cstdlib>
#include <unordered_map>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

namespace {

//! Interval at which a suspended member checks whether the disk has room again.
constexpr Duration ResumeInterval = std::chrono::milliseconds(500);
//! A timer that expires later than this was held up by this process itself.
constexpr Duration MaxTimerDelay = std::chrono::milliseconds(50);
//! Time in which messages are handled that arrived while this process was held up.
constexpr Duration PendingMessagesTime = std::chrono::milliseconds(20);
//! Free space that a member needs to resume.
constexpr std::size_t FreeSpaceProbeBytes = std::size_t { 64 } * 1024;

} // namespace

void drawMemberOptions(RaftOptions &options)
{
    options.seed = randomNumber();
    options.snapshotOffset = randomNumber() % options.snapshotAfterBytes;
}

class Quorum::Implementation : public std::enable_shared_from_this<Quorum::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, Disk &disk, QuorumSetup setup,
                   StateMachine &machine, SendHandler onSend)
        : m_context(context)
        , m_timer(context)
        , m_disk(disk)
        , m_setup(std::move(setup))
        , m_machine(machine)
        , m_initialState(machine.encode())
        , m_onSend(std::move(onSend))
    { }

    // Opens the store and starts the member with the state that the disk holds.
    void open()
    {
        m_store = LogStore::open(m_disk, m_setup.filePrefix, m_setup.self).value();
        m_raft = Raft::create(m_setup.self, m_setup.bootstrapVoters, m_setup.options, *m_store,
                              m_machine, monotonicNow())
                     .value();
    }

    void openOrSuspend()
    {
        try {
            open();
            scheduleFlush();
        } catch (const Error &error) {
            if (error.code() != ResultCode::StorageFull)
                throw;
            suspend(error);
        }
    }

    // Calls a function with the Raft member unless it is suspended. Suspends it if the disk is
    // full; aborts the process on another storage failure.
    template <typename Function>
    void call(Function function)
    {
        if (!m_raft)
            return;
        try {
            function(*m_raft);
        } catch (const Error &error) {
            if (error.code() != ResultCode::StorageFull)
                abortProcess(error);
            suspend(error);
        }
    }

    [[noreturn]] void abortProcess(const Error &error) const
    {
        logEvent(LogLevel::Error, "storage-failed",
                 { { "quorum", m_setup.name }, { "reason", error.what() } });
        flushEventLog();
        std::abort();
    }

    // Stops voting and accepting, as if the process had crashed at the failed write.
    void suspend(const Error &error)
    {
        logEvent(LogLevel::Error, "storage-full",
                 { { "quorum", m_setup.name }, { "reason", error.what() } });
        m_raft.reset();
        m_store.reset();
        for (const auto &[ticket, handler] : std::exchange(m_completionHandlers, {}))
            postCompletion(handler, ResultCode::ChangeOutcomeUnknown);
        scheduleResume();
    }

    void scheduleResume()
    {
        m_timerDeadline = Instant::min();
        m_timer.expires_after(ResumeInterval);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->tryResume();
        });
    }

    void tryResume()
    {
        try {
            verifyFreeSpace();
            m_machine.restore(m_initialState);
            open();
        } catch (const Error &error) {
            if (error.code() != ResultCode::StorageFull)
                abortProcess(error);
            m_raft.reset();
            m_store.reset();
            scheduleResume();
            return;
        }
        logEvent(LogLevel::Info, "storage-regained", { { "quorum", m_setup.name } });
        scheduleFlush();
    }

    void verifyFreeSpace()
    {
        const std::string name = m_setup.filePrefix + "probe";
        m_disk.replace(name, Bytes(FreeSpaceProbeBytes));
        m_disk.remove(name);
    }

    void postCompletion(const CompletionHandler &handler, ResultCode code)
    {
        boost::asio::post(m_context, [handler, code] { handler({ 0, code, {} }); });
    }

    // Starts an operation; one that finds the member suspended certainly has no effect.
    template <typename Function>
    void start(Function function, CompletionHandler onDone)
    {
        if (!m_raft) {
            postCompletion(onDone, ResultCode::NotLeader);
            return;
        }
        Ticket ticket = 0;
        call([&](Raft &raft) { ticket = function(raft); });
        if (m_raft)
            registerHandler(ticket, std::move(onDone));
        else
            postCompletion(onDone, ResultCode::ChangeOutcomeUnknown);
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
        RaftOutput output;
        call([&output](Raft &raft) { output = raft.takeOutput(); });
        if (!m_raft)
            return;
        for (auto &message : output.messages)
            m_onSend(std::move(message));
        for (const auto &completion : output.completions)
            notifyCompletion(completion);
        if (m_raft && output.leadershipChanged)
            logLeadership();
        if (m_raft)
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
        m_timerIsPostponed = false;
        waitUntil(deadline);
    }

    void waitUntil(Instant instant)
    {
        m_timer.expires_at(std::chrono::steady_clock::time_point(instant.time_since_epoch()));
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->onTimer();
        });
    }

    // After the process was suspended or waited for its disk, messages that arrived meanwhile are
    // handled first: the others were not silent.
    void onTimer()
    {
        const Instant now = monotonicNow();
        if (now - m_timerDeadline > MaxTimerDelay && !m_timerIsPostponed) {
            m_timerIsPostponed = true;
            waitUntil(now + PendingMessagesTime);
            return;
        }
        m_timerDeadline = Instant::min();
        call([now](Raft &raft) { raft.tick(now); });
        flush();
    }

    void registerHandler(Ticket ticket, CompletionHandler onDone)
    {
        m_completionHandlers.emplace(ticket, std::move(onDone));
        scheduleFlush();
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    Disk &m_disk;
    QuorumSetup m_setup;
    StateMachine &m_machine;
    Bytes m_initialState; //!< State of the machine before the first command.
    SendHandler m_onSend;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Raft> m_raft; //!< Null while the disk is full.
    std::unordered_map<Ticket, CompletionHandler> m_completionHandlers;
    Instant m_timerDeadline = Instant::min();
    bool m_timerIsPostponed = false;
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
        auto implementation = std::make_shared<Implementation>(context, disk, std::move(setup),
                                                               machine, std::move(onSend));
        implementation->openOrSuspend();
        return std::unique_ptr<Quorum>(new Quorum(std::move(implementation)));
    } catch (const Error &error) {
        return error;
    }
}

void Quorum::receive(const RaftMessage &message)
{
    m_implementation->call([&](Raft &raft) { raft.receive(message, monotonicNow()); });
    m_implementation->scheduleFlush();
}

void Quorum::observeTransfer(MemberId member)
{
    m_implementation->call([member](Raft &raft) { raft.observeTransfer(member, monotonicNow()); });
    m_implementation->scheduleFlush();
}

void Quorum::propose(Bytes command, CompletionHandler onDone)
{
    m_implementation->start(
        [&](Raft &raft) { return raft.propose(std::move(command), monotonicNow()); },
        std::move(onDone));
}

void Quorum::confirmRead(CompletionHandler onDone)
{
    m_implementation->start([](Raft &raft) { return raft.confirmRead(monotonicNow()); },
                            std::move(onDone));
}

void Quorum::addMember(MemberId member)
{
    m_implementation->start([member](Raft &raft) { return raft.addMember(member, monotonicNow()); },
                            [](const Completion &) {});
}

void Quorum::removeMember(MemberId member)
{
    m_implementation->start(
        [member](Raft &raft) { return raft.removeMember(member, monotonicNow()); },
        [](const Completion &) {});
}

bool Quorum::hasLeaderLease() const
{
    const auto &raft = m_implementation->m_raft;
    return raft && raft->hasLeaderLease(monotonicNow());
}

bool Quorum::isSuspended() const { return !m_implementation->m_raft; }

RaftStatus Quorum::status() const
{
    const auto &raft = m_implementation->m_raft;
    return raft ? raft->status() : RaftStatus {};
}

} // namespace ggv
