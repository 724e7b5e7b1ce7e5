#include <ggv/coordination/operators/operator_api.hpp>

#include <ggv/coordination/entry/query.hpp>
#include <ggv/coordination/entry/system_answer.hpp>
#include <ggv/coordination/observability/metrics.hpp>
#include <ggv/coordination/operators/status_json.hpp>
#include <ggv/protocol/codec/change_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/model/register_delta.hpp>
#include <ggv/state/model/register_toml.hpp>
#include <ggv/state/request/http_status.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace ggv {

namespace asio = boost::asio;

namespace {

void logChange(const std::string &id, const std::string &author, const ChangeAnswer &answer)
{
    logEvent(LogLevel::Info, "register-change",
             { { "change", id },
               { "author", author },
               { "outcome", std::string(resultCodeName(answer.code)) },
               { "version", answer.version } });
}

constexpr Duration ChangeDeadline = std::chrono::seconds(5);
constexpr Duration MaxVersionWait = std::chrono::seconds(2);
constexpr auto VersionPollInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t MaxRegisterBytes = 64ULL * 1024 * 1024;
constexpr std::size_t ChunkBytes = 16UL * 1024;
const char *const MetricsType = "text/plain; version=0.0.4";
const char *const VersionHeader = "Ggv-Version";

HttpAnswer jsonAnswer(std::uint16_t status, const nlohmann::json &body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = body.dump(2) + "\n";
    return answer;
}

HttpAnswer textAnswer(std::uint16_t status, std::string body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers = { { "Content-Type", "text/plain" } };
    answer.body = std::move(body);
    return answer;
}

//! Receives a result from another thread and suspends a coroutine on the request's event loop
//! until it arrives.
template <typename Value>
class ResultWaiter
{
public:
    explicit ResultWaiter(asio::io_context &context)
        : m_context(context)
        , m_state(std::make_shared<State>(context))
    {
        m_state->timer.expires_at(std::chrono::steady_clock::time_point::max());
    }

    //! @return A thread-safe callback that delivers the value.
    auto makeCallback()
    {
        return [&context = m_context, state = m_state](Value value) {
            asio::post(context, [state, value = std::move(value)]() mutable {
                state->value = std::move(value);
                state->timer.cancel();
            });
        };
    }

    asio::awaitable<Value> wait()
    {
        boost::system::error_code ec;
        co_await m_state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        co_return std::move(m_state->value);
    }

private:
    struct State
    {
        explicit State(asio::io_context &context)
            : timer(context)
        { }

        asio::steady_timer timer;
        Value value {};
    };

    asio::io_context &m_context;
    std::shared_ptr<State> m_state;
};

} // namespace

class OperatorApi::Implementation
{
public:
    using Handler
        = asio::awaitable<void> (Implementation::*)(ServerExchange &, const std::string &);

    //! Handler of one method and path.
    struct RouteEntry
    {
        std::string_view method;
        std::string_view path;
        bool isPublic; //!< Requires no token.
        Handler handler;
    };

    Implementation(IoPool &pool, const Settings &settings, ControlPlane &control,
                   EntryContext &context)
        : m_pool(pool)
        , m_accounts(settings.operatorAccounts)
        , m_control(control)
        , m_context(context)
    { }

    void listen(const Endpoint &endpoint)
    {
        HttpLimits limits;
        limits.maxBodyBytes = MaxRegisterBytes;
        m_server = HttpServer::listen(
                       m_pool, endpoint, limits,
                       [this](ServerExchange &caller) { return handle(caller); }, faultAnswer)
                       .value();
    }

private:
    static const std::array<RouteEntry, 7> &routes()
    {
        static constexpr std::array<RouteEntry, 7> Routes { {
            { "GET", "/healthz", true, &Implementation::health },
            { "GET", "/readyz", true, &Implementation::ready },
            { "GET", "/metrics", true, &Implementation::metrics },
            { "GET", "/v1/status", false, &Implementation::status },
            { "GET", "/v1/register", false, &Implementation::showRegister },
            { "POST", "/v1/register", false, &Implementation::change },
            { "GET", "/v1/explain", false, &Implementation::explain },
        } };
        return Routes;
    }

    asio::awaitable<void> handle(ServerExchange &caller)
    {
        const auto &head = caller.head();
        const std::string_view path = pathOf(head.target);
        const auto &table = routes();
        const auto it = std::find_if(table.begin(), table.end(), [&](const RouteEntry &entry) {
            return entry.method == head.method && entry.path == path;
        });
        if (it == table.end()) {
            HttpAnswer reply = faultAnswer(ResultCode::UnknownEntity, "no such path");
            co_await caller.answer(std::move(reply));
            co_return;
        }
        const std::string name = operatorOf(head);
        if (!it->isPublic && name.empty()) {
            HttpAnswer reply = faultAnswer(ResultCode::NotAuthorized, "token is not known");
            co_await caller.answer(std::move(reply));
            co_return;
        }
        co_await (this->*it->handler)(caller, name);
    }

    std::string operatorOf(const HttpRequestHead &head) const
    {
        constexpr std::string_view Scheme = "Bearer ";
        const auto *header = findHeader(head.headers, "Authorization");
        if (header == nullptr || !header->starts_with(Scheme))
            return {};
        const std::string digest = sha256Hex(std::string_view(*header).substr(Scheme.size()));
        const Bytes presented(digest.begin(), digest.end());
        std::string found;
        for (const auto &account : m_accounts) {
            const Bytes known(account.tokenSha256.begin(), account.tokenSha256.end());
            if (equalDigests(presented, known))
                found = account.name;
        }
        return found;
    }

    asio::io_context &loop() { return m_pool.context(m_pool.currentIndex()); }

    asio::awaitable<void> health(ServerExchange &caller, const std::string &)
    {
        HttpAnswer reply = textAnswer(200, "ok\n");
        co_await caller.answer(std::move(reply));
    }

    asio::awaitable<void> ready(ServerExchange &caller, const std::string &)
    {
        const bool isReady = m_context.view.read() != nullptr && !m_context.leaving;
        HttpAnswer reply = isReady ? textAnswer(200, "ready\n") : textAnswer(503, "not ready\n");
        co_await caller.answer(std::move(reply));
    }

    asio::awaitable<ControlReport> report()
    {
        ResultWaiter<ControlReport> waiter(loop());
        m_control.inspect(waiter.makeCallback());
        co_return co_await waiter.wait();
    }

    asio::awaitable<void> metrics(ServerExchange &caller, const std::string &)
    {
        const ControlReport known = co_await report();
        const auto view = m_context.view.read();
        HttpAnswer reply;
        reply.headers = { { "Content-Type", MetricsType } };
        reply.body = m_context.metrics->text(view.get(), known, monotonicNow());
        co_await caller.answer(std::move(reply));
    }

    asio::awaitable<void> status(ServerExchange &caller, const std::string &)
    {
        const auto view = m_context.view.read();
        co_await caller.answer(
            jsonAnswer(200, statusJson(co_await report(), view ? &view->content() : nullptr)));
    }

    asio::awaitable<void> showRegister(ServerExchange &caller, const std::string &)
    {
        const auto view = m_context.view.read();
        if (!view) {
            HttpAnswer reply = faultAnswer(ResultCode::NoQuorum, "no register is in force");
            co_await caller.answer(std::move(reply));
            co_return;
        }
        HttpAnswer answer = textAnswer(200, formatRegisterToml(view->content().content()));
        answer.headers.push_back({ VersionHeader, std::to_string(view->content().version()) });
        co_await caller.answer(std::move(answer));
    }

    asio::awaitable<std::string> readBody(ServerExchange &caller)
    {
        std::string body;
        std::array<std::uint8_t, ChunkBytes> chunk;
        while (const std::size_t n = co_await caller.readBody(chunk))
            body.append(chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(n));
        co_return body;
    }

    asio::awaitable<void> change(ServerExchange &caller, const std::string &name)
    {
        const std::string target = caller.head().target;
        const auto id = queryParameter(target, "change");
        const auto expectedText = queryParameter(target, "expected").value_or("");
        RegisterVersion expected = 0;
        const char *last = expectedText.data() + expectedText.size();
        const auto parsed = std::from_chars(expectedText.data(), last, expected);
        if (!id || id->empty() || parsed.ec != std::errc() || parsed.ptr != last) {
            HttpAnswer reply = faultAnswer(ResultCode::MalformedRequest,
                                           "parameters 'change' and 'expected' are needed");
            co_await caller.answer(std::move(reply));
            co_return;
        }
        const std::string text = co_await readBody(caller);
        const RegisterDocument document = parseRegisterToml(text);
        if (!document.faults.empty()) {
            co_await caller.answer(jsonAnswer(400, faultsJson(document.faults)));
            co_return;
        }
        ChangeCommand command { ChangeId(*id),
                                name,
                                expected,
                                XXH3_64bits_withSeed(text.data(), text.size(), expected),
                                {} };
        co_await waitForVersion(expected);
        addDelta(command, document.content);
        const ChangeAnswer answer = co_await propose(command);
        logChange(*id, name, answer);
        co_await caller.answer(jsonAnswer(
            answer.code == ResultCode::Ok ? 200 : httpStatusOf(answer.code), changeJson(answer)));
    }

    // Waits until this host has the expected version, which the operator may have read from a host
    // that received it earlier.
    asio::awaitable<void> waitForVersion(RegisterVersion expected)
    {
        asio::steady_timer timer(loop());
        const Instant deadline = monotonicNow() + MaxVersionWait;
        while (monotonicNow() < deadline) {
            const auto view = m_context.view.read();
            if (view && view->content().version() >= expected)
                co_return;
            timer.expires_after(VersionPollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // Without a delta, the quorum returns the stored answer if the change id is known, otherwise a
    // version conflict.
    void addDelta(ChangeCommand &command, const RegisterContent &content)
    {
        const auto view = m_context.view.read();
        if (!view || view->content().version() != command.expected)
            return;
        const auto next = Register::create(command.expected + 1, content);
        if (next)
            command.delta = encodeDelta(diffRegisters(view->content(), next.value()));
    }

    asio::awaitable<ChangeAnswer> propose(const ChangeCommand &command)
    {
        ResultWaiter<ProposalOutcome> waiter(loop());
        m_control.propose(std::string(ControlGroup), encodeChangeCommand(command),
                          monotonicNow() + ChangeDeadline, waiter.makeCallback());
        const ProposalOutcome outcome = co_await waiter.wait();
        if (outcome.code == ResultCode::Ok)
            co_return decodeChangeAnswer(outcome.answer);
        co_return ChangeAnswer { outcome.code, 0, "no majority answered; send it again" };
    }

    asio::awaitable<void> explain(ServerExchange &caller, const std::string &)
    {
        const auto view = m_context.view.read();
        const auto name = queryParameter(caller.head().target, "service").value_or("");
        const auto *service = view ? view->service(name) : nullptr;
        HttpAnswer reply = service == nullptr
            ? faultAnswer(ResultCode::NoSuchService, "no such service")
            : jsonAnswer(200, explainJson(*service));
        co_await caller.answer(std::move(reply));
    }

    IoPool &m_pool;
    std::vector<OperatorAccount> m_accounts;
    ControlPlane &m_control;
    EntryContext &m_context;
    std::unique_ptr<HttpServer> m_server;
};

OperatorApi::OperatorApi(IoPool &pool, const Settings &settings, ControlPlane &control,
                         EntryContext &context)
    : m_implementation(std::make_unique<Implementation>(pool, settings, control, context))
{ }

OperatorApi::~OperatorApi() = default;

void OperatorApi::listen(const Endpoint &endpoint) { m_implementation->listen(endpoint); }

} // namespace ggv
