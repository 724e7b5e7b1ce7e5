// Fake targets of one failure domain: each executes requests with a fixed service time, counts
// executions per idempotency key, and rejects requests that exceed its slots.

#include <ggv/coordination/node/settings.hpp>
#include <ggv/state/model/register_toml.hpp>
#include <ggv/state/request/request_event.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>
#include <popt.h>

namespace asio = boost::asio;

namespace {

constexpr std::size_t ChunkBytes = 16UL * 1024;

//! One target of the register, with its counters and server.
struct FakeTarget
{
    ggv::Target target;
    std::atomic<std::uint32_t> inFlight = 0;
    std::atomic<std::uint32_t> peak = 0;
    std::atomic<std::uint64_t> executed = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::unique_ptr<ggv::HttpServer> server;
};

//! Counts executions per idempotency key over all targets of the process. Thread-safe.
class KeyCounter
{
public:
    void add(const std::string &key)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts[key];
    }

    nlohmann::json toJson() const
    {
        const std::scoped_lock lock(m_mutex);
        std::uint64_t repeated = 0;
        for (const auto &[key, count] : m_counts)
            repeated += count > 1 ? 1 : 0;
        return { { "keys", m_counts.size() }, { "executed_twice", repeated } };
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

class FakeTargets
{
public:
    FakeTargets(const ggv::RegisterContent &content, const std::string &domain,
                std::chrono::milliseconds serviceTime)
        : m_pool(2)
        , m_serviceTime(serviceTime)
    {
        for (const auto &target : content.targets) {
            if (target.domain.text() != domain)
                continue;
            m_targets.push_back(std::make_unique<FakeTarget>());
            m_targets.back()->target = target;
        }
    }

    ~FakeTargets() { m_pool.stop(); }

    void listen()
    {
        for (auto &it : m_targets) {
            const auto faultResponse = [](ggv::ResultCode, const std::string &message) {
                return ggv::HttpAnswer { 400, {}, message };
            };
            it->server = ggv::HttpServer::listen(
                             m_pool, it->target.endpoint, {},
                             [this, &target = *it](ggv::ServerExchange &caller) {
                                 return handle(target, caller);
                             },
                             faultResponse)
                             .value();
        }
        m_pool.start();
    }

    nlohmann::json stats() const
    {
        std::uint64_t executed = 0;
        std::uint64_t refused = 0;
        std::uint64_t overSlots = 0;
        for (const auto &it : m_targets) {
            executed += it->executed;
            refused += it->refused;
            overSlots += it->peak > it->target.slots ? 1 : 0;
        }
        return { { "executed", executed },
                 { "refused", refused },
                 { "over_slots", overSlots },
                 { "keys", m_keys.toJson() } };
    }

private:
    asio::awaitable<void> handle(FakeTarget &target, ggv::ServerExchange &caller)
    {
        if (caller.head().target == "/stats") {
            ggv::HttpAnswer response;
            response.body = stats().dump() + "\n";
            co_await caller.answer(std::move(response));
            co_return;
        }
        std::uint64_t bodyBytes = 0;
        std::array<std::uint8_t, ChunkBytes> chunk;
        while (const std::size_t n = co_await caller.readBody(chunk))
            bodyBytes += n;
        const std::uint32_t inFlight = ++target.inFlight;
        target.peak = std::max<std::uint32_t>(target.peak, inFlight);
        if (inFlight > target.target.slots) {
            --target.inFlight;
            ++target.refused;
            ggv::HttpAnswer refusal;
            refusal.status = 503;
            refusal.headers.push_back({ ggv::NotExecutedHeader, ggv::NotExecutedValue });
            co_await caller.answer(std::move(refusal));
            co_return;
        }
        co_await execute(target, caller, bodyBytes);
    }

    asio::awaitable<void> execute(FakeTarget &target, ggv::ServerExchange &caller,
                                  std::uint64_t bodyBytes)
    {
        if (const auto *key = ggv::findHeader(caller.head().headers, "Idempotency-Key"))
            m_keys.add(*key);
        ++target.executed;
        asio::steady_timer timer(co_await asio::this_coro::executor, m_serviceTime);
        co_await timer.async_wait(asio::use_awaitable);
        --target.inFlight;
        ggv::HttpAnswer response;
        response.headers.push_back({ "Ggv-Target", target.target.name.text() });
        response.body = "target " + target.target.name.text() + " executed " + caller.head().method
            + " " + caller.head().target + " with " + std::to_string(bodyBytes) + " bytes\n";
        co_await caller.answer(std::move(response));
    }

    ggv::IoPool m_pool;
    std::chrono::milliseconds m_serviceTime;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    KeyCounter m_keys;
};

int run(const std::string &registerPath, const std::string &domain, int serviceTime)
{
    const auto document = ggv::parseRegisterToml(ggv::readTextFile(registerPath));
    if (!document.faults.empty()) {
        std::cerr << registerPath << ": " << document.faults.front().message << "\n";
        return 2;
    }
    FakeTargets fakeTargets(document.content, domain, std::chrono::milliseconds(serviceTime));
    fakeTargets.listen();
    asio::io_context context(1);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](boost::system::error_code, int) {});
    context.run();
    std::cout << fakeTargets.stats().dump() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    char *registerPath = nullptr;
    char *domain = nullptr;
    int serviceTime = 5;
    const poptOption options[]
        = { { "register", 'r', POPT_ARG_STRING, &registerPath, 0, "Path of the register", "FILE" },
            { "domain", 'd', POPT_ARG_STRING, &domain, 0, "Failure domain to serve", "NAME" },
            { "service-ms", 't', POPT_ARG_INT, &serviceTime, 0,
              "Service time per request in milliseconds", "MS" },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context
        = poptGetContext(nullptr, argc, const_cast<const char **>(argv), options, 0); // NOLINT
    const bool valid
        = poptGetNextOpt(context) == -1 && registerPath != nullptr && domain != nullptr;
    poptFreeContext(context);
    if (!valid) {
        std::cerr << "usage: ggv_standin_target --register FILE --domain NAME [--service-ms MS]\n";
        return 2;
    }
    try {
        return run(registerPath, domain, serviceTime);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 3;
    }
}
