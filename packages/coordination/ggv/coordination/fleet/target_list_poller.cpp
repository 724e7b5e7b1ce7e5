#include <ggv/coordination/fleet/target_list_poller.hpp>

#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
//! Interval at which the leader reads the list.
constexpr Duration ReadInterval = std::chrono::milliseconds(900);
//! A host that is not the leader reads the list itself if it obtained no newer one for this long.
constexpr Duration UpdateTimeout = std::chrono::milliseconds(1600);
//! Upper bound of a random delay added to UpdateTimeout, so that hosts do not read simultaneously.
constexpr Duration UpdateJitter = std::chrono::milliseconds(500);

} // namespace

std::shared_ptr<TargetListPoller> TargetListPoller::start(asio::io_context &context,
                                                          TargetListReader &reader,
                                                          std::shared_ptr<SharedTargetList> list,
                                                          Handlers handlers)
{
    std::shared_ptr<TargetListPoller> poller(
        new TargetListPoller(reader, std::move(list), std::move(handlers)));
    // The function lives as long as the coroutine.
    asio::co_spawn(
        context, [poller, &context] { return poller->run(context); }, asio::detached);
    return poller;
}

TargetListPoller::TargetListPoller(TargetListReader &reader, std::shared_ptr<SharedTargetList> list,
                                   Handlers handlers)
    : m_reader(reader)
    , m_list(std::move(list))
    , m_handlers(std::move(handlers))
    , m_random(randomNumber())
{ }

asio::awaitable<void> TargetListPoller::run(asio::io_context &context)
{
    asio::steady_timer timer(context);
    while (true) {
        if (isReadDue(monotonicNow()))
            co_await readList();
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

bool TargetListPoller::isReadDue(Instant now)
{
    if (m_handlers.isLeader())
        return m_list->age(now) >= ReadInterval && now - m_lastReadAt >= ReadInterval;
    // Measured from the arrival of the list, not from its reading: a list from a distant host is
    // old on arrival, and reading it again from here would not give a newer one.
    const Duration jitter(static_cast<Duration::rep>(uniformFraction(m_random)
                                                     * static_cast<double>(UpdateJitter.count())));
    return m_list->timeSinceUpdate(now) >= UpdateTimeout + jitter
        && now - m_lastReadAt >= ReadInterval * 2;
}

asio::awaitable<void> TargetListPoller::readList()
{
    const Instant startedAt = monotonicNow();
    m_lastReadAt = startedAt;
    try {
        auto targets = co_await m_reader.read();
        const Instant now = monotonicNow();
        m_lastReadTime = now - startedAt;
        m_list->replace(std::move(targets), startedAt, now);
        setReadable(true, "");
    } catch (const Error &error) {
        setReadable(false, error.what());
        co_return;
    }
    m_handlers.onRead();
}

void TargetListPoller::setReadable(bool readable, const char *reason)
{
    if (m_isReadable == readable)
        return;
    m_isReadable = readable;
    const Duration age = m_list->age(monotonicNow());
    logEvent(readable ? LogLevel::Info : LogLevel::Warning,
             readable ? "target-list-regained" : "target-list-lost",
             { { "reason", reason }, { "age_ms", age.count() / 1000 } });
}

} // namespace ggv
