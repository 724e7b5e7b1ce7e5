// Caller for demonstrations and process tests: looks up a service, sends requests to the entry
// hosts of the result, fails over to the next host, and counts the outcomes of the requests.

#include <ggv/coordination/entry/headers.hpp>
#include <ggv/coordination/node/settings.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/state/model/endpoint_text.hpp>
#include <ggv/transport/http/http_client.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>
#include <popt.h>

namespace asio = boost::asio;
using ggv::Duration;
using ggv::Endpoint;
using ggv::Instant;
using nlohmann::json;

namespace {

constexpr Duration StepTimeout = std::chrono::seconds(5);
constexpr std::size_t ChunkBytes = 16UL * 1024;

//! Parsed command-line options.
struct Arguments
{
    std::vector<Endpoint> entries; //!< Entry hosts for look-ups, tried in this order.
    std::string service;
    std::string client;
    std::string path = "/";
    bool post = false;
    int requests = 1;
    int concurrency = 1;
    int rate = 0; //!< Requests per second over all workers; 0 to send as soon as a worker is free.
    int timeoutMs = 2000;
    int attempts = 4;
    bool expectDone = false; //!< Fail unless every request ends with verdict "done".
    std::string avoid; //!< Fail if this target sent a response; empty for no check.
    std::string key; //!< Idempotency key of all requests; if empty, each gets its own.
    std::optional<Endpoint> direct; //!< Target that gets all requests, without look-ups.
    bool lookUpOnly = false; //!< Only measure look-ups; send no requests.
};

//! A complete response.
struct Response
{
    int status = 0;
    std::string result;
    std::string verdict;
    std::string target;
    std::string body;
};

//! An entry host from a look-up result.
struct LookUpHost
{
    std::string name;
    Endpoint endpoint;
    std::uint32_t weight = 0;
};

class Caller
{
public:
    Caller(asio::io_context &context, Arguments arguments)
        : m_context(context)
        , m_arguments(std::move(arguments))
        , m_pool(context, 16, std::chrono::seconds(30))
        , m_random(ggv::randomNumber())
        , m_startedAt(ggv::monotonicNow())
    { }

    asio::awaitable<void> runWorker()
    {
        ++m_activeWorkers;
        while (m_nextRequest < m_arguments.requests) {
            const int number = m_nextRequest++;
            if (m_arguments.rate > 0)
                co_await waitUntilDue(number);
            if (m_arguments.lookUpOnly)
                co_await measureLookUp();
            else
                co_await runRequest();
        }
        if (--m_activeWorkers == 0)
            m_context.stop();
    }

    json report() const
    {
        std::vector<double> sorted = m_latencies;
        std::sort(sorted.begin(), sorted.end());
        const auto quantile = [&sorted](double q) {
            if (sorted.empty())
                return 0.0;
            const auto n = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
            return sorted[n];
        };
        return { { "verdicts", m_verdicts },
                 { "results", m_results },
                 { "targets", m_targets },
                 { "hosts", m_hosts },
                 { "retried", m_retried },
                 { "p50_ms", quantile(0.5) },
                 { "p99_ms", quantile(0.99) },
                 { "last_body", m_lastBody },
                 { "seconds",
                   std::chrono::duration<double>(ggv::monotonicNow() - m_startedAt).count() } };
    }

    //! @return The first expectation from the command line that failed; empty if all hold.
    std::string failedExpectation() const
    {
        if (m_arguments.expectDone && (m_verdicts.size() != 1 || !m_verdicts.contains("done")))
            return "not every request ended with verdict \"done\"";
        if (!m_arguments.avoid.empty() && m_targets.contains(m_arguments.avoid))
            return "target " + m_arguments.avoid
                + " executed a request although --avoid excludes it";
        return {};
    }

private:
    asio::awaitable<void> waitUntilDue(int number)
    {
        const auto offset = std::chrono::microseconds(1'000'000LL * number / m_arguments.rate);
        const Instant due = m_startedAt + offset;
        asio::steady_timer timer(m_context);
        timer.expires_at(std::chrono::steady_clock::time_point(due.time_since_epoch()));
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<Response> send(const Endpoint &endpoint, ggv::HttpRequestHead head,
                                   std::string body, bool fresh)
    {
        const Instant deadline = ggv::monotonicNow() + StepTimeout;
        if (!body.empty())
            head.contentLength = body.size();
        head.headers.push_back({ "Host", m_arguments.service });
        auto exchange = co_await m_pool.open(endpoint, fresh, deadline);
        co_await exchange->sendHead(head, deadline);
        const std::vector<std::uint8_t> bytes(body.begin(), body.end());
        co_await exchange->sendBody(bytes, deadline);
        co_await exchange->finishRequest(deadline);
        const auto responseHead = co_await exchange->readHead(deadline);
        Response response;
        response.status = responseHead.status;
        response.result = headerOf(responseHead, ggv::ResultHeader);
        response.verdict = headerOf(responseHead, ggv::VerdictHeader);
        response.target = headerOf(responseHead, "Ggv-Target");
        std::array<std::uint8_t, ChunkBytes> chunk;
        while (const std::size_t n = co_await exchange->readBody(chunk, deadline))
            response.body.append(chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(n));
        m_pool.release(std::move(exchange));
        co_return response;
    }

    static std::string headerOf(const ggv::HttpAnswerHead &head, std::string_view name)
    {
        const auto *value = ggv::findHeader(head.headers, name);
        return value == nullptr ? "" : *value;
    }

    asio::awaitable<void> measureLookUp()
    {
        const Instant startedAt = ggv::monotonicNow();
        m_lookUpExpiresAt = Instant::min();
        co_await lookUp();
        ++m_verdicts[m_lookUpHosts.empty() ? "unanswered" : "done"];
        recordLatency(startedAt);
    }

    void recordLatency(Instant startedAt)
    {
        m_latencies.push_back(
            std::chrono::duration<double, std::milli>(ggv::monotonicNow() - startedAt).count());
    }

    // Tries each entry host until one responds; caches the result for its lifetime.
    asio::awaitable<void> lookUp()
    {
        if (m_arguments.direct)
            m_lookUpHosts = { { "direct", *m_arguments.direct, 1 } };
        if (m_arguments.direct
            || (!m_lookUpHosts.empty() && ggv::monotonicNow() < m_lookUpExpiresAt))
            co_return;
        std::string target
            = std::string(ggv::SystemPathPrefix) + "lookup?service=" + m_arguments.service;
        if (!m_arguments.client.empty())
            target += "&client=" + m_arguments.client;
        for (const auto &entry : m_arguments.entries) {
            std::string failure;
            try {
                ggv::HttpRequestHead head;
                head.method = "GET";
                head.target = target;
                const std::string noBody;
                const Response response = co_await send(entry, std::move(head), noBody, false);
                if (response.status == 200) {
                    applyLookUp(json::parse(response.body));
                    co_return;
                }
            } catch (const ggv::Error &error) {
                failure = error.what();
            }
            if (!failure.empty())
                std::cerr << "look-up at " << entry.address << " failed: " << failure << "\n";
        }
    }

    void applyLookUp(const json &response)
    {
        m_lookUpHosts.clear();
        for (const auto &host : response["hosts"])
            m_lookUpHosts.push_back(
                { host["host"], ggv::parseEndpoint(host["address"].get<std::string>()).value(),
                  host["weight"] });
        m_lookUpExpiresAt
            = ggv::monotonicNow() + std::chrono::milliseconds(response["lifetime_ms"].get<int>());
    }

    // Selects a host at random by weight. Further attempts use the hosts that follow it in order.
    std::size_t selectHost()
    {
        std::uint32_t total = 0;
        for (const auto &it : m_lookUpHosts)
            total += it.weight;
        if (total == 0)
            return 0;
        auto point = static_cast<std::uint32_t>(m_random() % total);
        for (std::size_t n = 0; n < m_lookUpHosts.size(); ++n) {
            if (point < m_lookUpHosts[n].weight)
                return n;
            point -= m_lookUpHosts[n].weight;
        }
        return 0;
    }

    ggv::HttpRequestHead requestHead(const std::string &key) const
    {
        ggv::HttpRequestHead head;
        head.method = m_arguments.post ? "POST" : "GET";
        head.target = m_arguments.path;
        head.headers.push_back(
            { std::string(ggv::TimeoutHeader), std::to_string(m_arguments.timeoutMs) });
        if (m_arguments.post)
            head.headers.push_back({ std::string(ggv::IdempotencyKeyHeader), key });
        return head;
    }

    asio::awaitable<void> runRequest()
    {
        const Instant startedAt = ggv::monotonicNow();
        const std::string key
            = m_arguments.key.empty() ? "key-" + std::to_string(m_random()) : m_arguments.key;
        std::string verdict = "unanswered";
        for (int attempt = 0; attempt < m_arguments.attempts; ++attempt) {
            co_await lookUp();
            if (m_lookUpHosts.empty())
                break;
            const std::size_t n
                = (selectHost() + static_cast<std::size_t>(attempt)) % m_lookUpHosts.size();
            const auto host = m_lookUpHosts[n];
            bool failed = false;
            try {
                const std::string body = m_arguments.post ? "order for " + key : "";
                const Response response
                    = co_await send(host.endpoint, requestHead(key), body, m_arguments.post);
                verdict = m_arguments.direct ? "done" : response.verdict;
                ++m_results[response.result];
                ++m_hosts[host.name];
                if (!response.target.empty())
                    ++m_targets[response.target];
                m_lastBody = response.body;
                failed = verdict != "done";
            } catch (const ggv::Error &) {
                failed = true;
                verdict = "connection lost";
                m_lookUpExpiresAt = Instant::min();
            }
            if (!failed)
                break;
            ++m_retried;
        }
        ++m_verdicts[verdict];
        recordLatency(startedAt);
    }

    asio::io_context &m_context;
    Arguments m_arguments;
    ggv::HttpClientPool m_pool;
    ggv::RandomSource m_random;
    Instant m_startedAt;
    std::vector<LookUpHost> m_lookUpHosts;
    Instant m_lookUpExpiresAt = Instant::min();
    int m_nextRequest = 0;
    int m_activeWorkers = 0;
    std::uint64_t m_retried = 0;
    std::map<std::string, std::uint64_t> m_verdicts;
    std::map<std::string, std::uint64_t> m_results;
    std::map<std::string, std::uint64_t> m_targets;
    std::map<std::string, std::uint64_t> m_hosts;
    std::vector<double> m_latencies;
    std::string m_lastBody;
};

std::vector<Endpoint> parseEntries(const std::string &text)
{
    std::vector<Endpoint> entries;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');)
        entries.push_back(ggv::parseEndpoint(part).value());
    return entries;
}

int run(Arguments arguments)
{
    asio::io_context context(1);
    const int workers = std::max(arguments.concurrency, 1);
    Caller caller(context, std::move(arguments));
    for (int n = 0; n < workers; ++n)
        asio::co_spawn(
            context, [&caller] { return caller.runWorker(); }, asio::detached);
    context.run();
    std::cout << caller.report().dump() << std::endl;
    const std::string failure = caller.failedExpectation();
    if (!failure.empty())
        std::cerr << failure << "\n";
    return failure.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    char *entries = nullptr;
    char *service = nullptr;
    char *client = nullptr;
    char *path = nullptr;
    char *avoid = nullptr;
    char *key = nullptr;
    int post = 0;
    int expectDone = 0;
    char *direct = nullptr;
    int lookUps = 0;
    Arguments arguments;
    const poptOption options[]
        = { { "entries", 'e', POPT_ARG_STRING, &entries, 0, "Entry hosts for look-ups",
              "ADDR:PORT,..." },
            { "service", 's', POPT_ARG_STRING, &service, 0, "Service", "NAME" },
            { "client", 'c', POPT_ARG_STRING, &client, 0, "Client address for the look-up", "IP" },
            { "path", 'p', POPT_ARG_STRING, &path, 0, "Path of the requests", "PATH" },
            { "post", 0, POPT_ARG_NONE, &post, 0, "Send POST with an idempotency key", nullptr },
            { "requests", 'n', POPT_ARG_INT, &arguments.requests, 0, "Requests", "N" },
            { "concurrency", 'j', POPT_ARG_INT, &arguments.concurrency, 0, "Workers", "N" },
            { "rate", 0, POPT_ARG_INT, &arguments.rate, 0, "Requests per second; 0: no limit",
              "N" },
            { "timeout-ms", 0, POPT_ARG_INT, &arguments.timeoutMs, 0, "Deadline", "MS" },
            { "attempts", 0, POPT_ARG_INT, &arguments.attempts, 0, "Maximum attempts per request",
              "N" },
            { "expect-done", 0, POPT_ARG_NONE, &expectDone, 0, "Fail unless each verdict is done",
              nullptr },
            { "avoid", 0, POPT_ARG_STRING, &avoid, 0, "Fail if this target responds", "TARGET" },
            { "direct", 0, POPT_ARG_STRING, &direct, 0, "Send all requests to this target",
              "ADDR:PORT" },
            { "look-ups", 0, POPT_ARG_NONE, &lookUps, 0, "Only measure look-ups", nullptr },
            { "key", 'k', POPT_ARG_STRING, &key, 0, "Idempotency key of all requests", "KEY" },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context
        = poptGetContext(nullptr, argc, const_cast<const char **>(argv), options, 0); // NOLINT
    const bool valid = poptGetNextOpt(context) == -1 && entries != nullptr && service != nullptr;
    poptFreeContext(context);
    if (!valid) {
        std::cerr << "usage: ggv_caller --entries ADDR:PORT,... --service NAME [options]\n";
        return 2;
    }
    try {
        arguments.entries = parseEntries(entries);
        arguments.service = service;
        arguments.client = client == nullptr ? "" : client;
        arguments.path = path == nullptr ? "/" : path;
        arguments.post = post != 0;
        arguments.expectDone = expectDone != 0;
        arguments.lookUpOnly = lookUps != 0;
        if (direct != nullptr)
            arguments.direct = ggv::parseEndpoint(direct).value();
        arguments.avoid = avoid == nullptr ? "" : avoid;
        arguments.key = key == nullptr ? "" : key;
        return run(std::move(arguments));
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 3;
    }
}
