#pragma once

#include <ggv/coordination/entry/entry_context.hpp>
#include <ggv/coordination/entry/entry_loop.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <vector>

namespace ggv {

/**
 * @brief HTTP service for callers: answers look-ups and forwards all other requests to targets.
 */
class EntryService
{
public:
    /**
     * @brief Creates the service without opening a port; see listen().
     * @param pool Pool of event loops.
     * @param context State shared by all requests; must outlive the service.
     */
    EntryService(IoPool &pool, EntryContext &context);
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    //! Starts accepting connections of callers. @throws Error ConnectionLost if the address cannot
    //! be bound.
    void listen(const Endpoint &endpoint, const HttpLimits &limits);
    //! @return Number of requests in progress.
    [[nodiscard]] std::size_t activeRequests() const noexcept;
    //! Closes each connection after its next response; still accepts new connections.
    void closeAfterAnswers() noexcept;
    //! Stops accepting new connections.
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
