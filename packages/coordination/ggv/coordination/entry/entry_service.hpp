#pragma once

#include <ggv/coordination/entry/entry_context.hpp>
#include <ggv/coordination/entry/entry_loop.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <vector>

namespace ggv {

/**
 * @brief Answers callers: look-ups, and requests that are forwarded to targets.
 */
class EntryService
{
public:
    /**
     * @brief Creates the service; it listens after listen().
     * @param pool Worker loops.
     * @param context Shared by all requests; outlives the service.
     */
    EntryService(IoPool &pool, EntryContext &context);
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    //! Starts to accept callers. @throws Error ConnectionLost if the address cannot be bound.
    void listen(const Endpoint &endpoint, const HttpLimits &limits);
    //! @return Requests being handled.
    [[nodiscard]] std::size_t activeRequests() const noexcept;
    //! Ends each connection with its next answer; connections are still accepted.
    void closeAfterAnswers() noexcept;
    //! Stops accepting connections.
    void stopAccepting();

private:
    [[nodiscard]] boost::asio::awaitable<void> handle(ServerExchange &caller);
    [[nodiscard]] HttpAnswer wellKnownAnswer(const ServerExchange &caller, std::string_view name);
    [[nodiscard]] HttpAnswer lookUp(const ServerExchange &caller, std::string_view query);

    IoPool &m_pool;
    EntryContext &m_context;
    std::vector<std::unique_ptr<EntryLoop>> m_loops;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace ggv
