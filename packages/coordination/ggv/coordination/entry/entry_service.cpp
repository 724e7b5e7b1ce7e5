#include <ggv/coordination/entry/entry_service.hpp>

#include <ggv/coordination/entry/headers.hpp>
#include <ggv/coordination/entry/query.hpp>
#include <ggv/coordination/entry/request_driver.hpp>
#include <ggv/coordination/entry/system_answer.hpp>
#include <ggv/state/model/endpoint_text.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <nlohmann/json.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

HttpAnswer jsonAnswer(const nlohmann::json &body)
{
    HttpAnswer answer;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = body.dump() + "\n";
    return answer;
}

HttpAnswer noRegisterAnswer()
{
    return faultAnswer(ResultCode::NoWorkingTarget, "no register is in force yet");
}

nlohmann::json toJson(const LookupAnswer &found)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto &it : found.hosts())
        hosts.push_back({ { "host", it.host->name.text() },
                          { "address", formatEndpoint(it.host->callers) },
                          { "failure_domain", it.host->domain.text() },
                          { "weight", it.weight } });
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(found.lifetime());
    return { { "hosts", std::move(hosts) }, { "lifetime_ms", lifetime.count() } };
}

} // namespace

EntryService::EntryService(IoPool &pool, EntryContext &context)
    : m_pool(pool)
    , m_context(context)
{
    for (std::size_t n = 0; n < pool.size(); ++n)
        m_loops.push_back(std::make_unique<EntryLoop>(pool.context(n), randomNumber()));
}

EntryService::~EntryService() = default;

void EntryService::listen(const Endpoint &endpoint, const HttpLimits &limits)
{
    m_server = HttpServer::listen(
                   m_pool, endpoint, limits,
                   [this](ServerExchange &caller) { return handle(caller); }, faultAnswer)
                   .value();
}

std::size_t EntryService::activeRequests() const noexcept
{
    return m_server ? m_server->activeRequests() : 0;
}

void EntryService::closeAfterAnswers() noexcept
{
    if (m_server)
        m_server->closeAfterAnswers();
}

void EntryService::stopAccepting()
{
    if (m_server)
        m_server->stopAccepting();
}

HttpAnswer EntryService::lookUp(const ServerExchange &caller, std::string_view query)
{
    const auto table = m_context.lookupTable.read();
    if (!table)
        return noRegisterAnswer();
    const auto service = queryParameter(query, "service");
    if (!service)
        return faultAnswer(ResultCode::MalformedRequest, "parameter 'service' is missing");
    const auto stated = queryParameter(query, "client");
    const auto client = IpAddress::parse(stated.value_or(caller.peerAddress()));
    if (stated && !client)
        return faultAnswer(ResultCode::MalformedRequest, "parameter 'client' is not an IP address");
    auto &loop = *m_loops[m_pool.currentIndex()];
    const auto found = table->lookUp({ ServiceName(*service), client, loop.random()() });
    if (!found)
        return faultAnswer(found.error().code(), found.error().what());
    return jsonAnswer(toJson(found.value()));
}

HttpAnswer EntryService::wellKnownAnswer(const ServerExchange &caller, std::string_view name)
{
    if (name == "lookup")
        return lookUp(caller, caller.head().target);
    return faultAnswer(ResultCode::MalformedRequest, "no such path");
}

asio::awaitable<void> EntryService::handle(ServerExchange &caller)
{
    const std::string &target = caller.head().target;
    const std::string_view path = pathOf(target);
    if (path.starts_with(SystemPathPrefix)) {
        HttpAnswer answer = wellKnownAnswer(caller, path.substr(SystemPathPrefix.size()));
        co_await caller.answer(std::move(answer));
        co_return;
    }
    auto view = m_context.view.read();
    if (!view) {
        HttpAnswer answer = noRegisterAnswer();
        co_await caller.answer(std::move(answer));
        co_return;
    }
    auto &loop = *m_loops[m_pool.currentIndex()];
    const auto driver = std::make_shared<RequestDriver>(m_context, loop, std::move(view), caller);
    co_await driver->run();
}

} // namespace ggv
