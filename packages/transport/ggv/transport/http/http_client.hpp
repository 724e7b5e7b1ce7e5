#pragma once

#include <ggv/state/core/error.hpp>
#include <ggv/state/model/entities.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <memory>
#include <span>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

/**
 * @brief A request to a peer and its response; runs on the event loop of its pool.
 *
 * Functions throw Error: PeerSilent if the operation did not complete by the deadline,
 * TargetConnectionLost if the connection failed or the peer sent no valid response head,
 * TargetAnswerTruncated if the response body is incomplete, CallerCancelled after cancel().
 */
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    //! Sends the request head; sendBody() and finishRequest() send the body.
    [[nodiscard]] virtual boost::asio::awaitable<void> sendHead(const HttpRequestHead &head,
                                                                Instant deadline)
        = 0;
    //! Sends a chunk of the request body.
    [[nodiscard]] virtual boost::asio::awaitable<void> sendBody(std::span<const std::uint8_t> bytes,
                                                                Instant deadline)
        = 0;
    //! Completes the request body.
    [[nodiscard]] virtual boost::asio::awaitable<void> finishRequest(Instant deadline) = 0;
    //! Reads the response head.
    [[nodiscard]] virtual boost::asio::awaitable<HttpAnswerHead> readHead(Instant deadline) = 0;
    //! Reads a chunk of the response body. @return Number of bytes read; 0 if the body is complete.
    [[nodiscard]] virtual boost::asio::awaitable<std::size_t>
    readBody(std::span<std::uint8_t> buffer, Instant deadline) = 0;
    //! @return True once any byte of the request may have reached the peer.
    [[nodiscard]] virtual bool requestStarted() const noexcept = 0;
    //! @return True if the connection has already carried an earlier request.
    [[nodiscard]] virtual bool reused() const noexcept = 0;
    //! Closes the connection; pending operations throw CallerCancelled.
    virtual void cancel() noexcept = 0;
};

/**
 * @brief Pool of persistent connections to peers; used from one event loop only.
 *
 * A connection is reused only after a complete request and a complete response, and if no unread
 * data remains on it.
 */
class HttpClientPool
{
public:
    /**
     * @brief Creates an empty pool.
     * @param context Event loop of the pool.
     * @param maxIdlePerPeer Maximum number of idle connections per peer.
     * @param idleTimeout Maximum idle time after which a connection is not reused.
     */
    HttpClientPool(boost::asio::io_context &context, std::size_t maxIdlePerPeer,
                   Duration idleTimeout);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /**
     * @brief Acquires an idle connection or opens a new one.
     * @param peer Address of the peer.
     * @param fresh True to always open a new connection. A reset of a reused connection may only
     * mean that the peer closed it while it was idle.
     * @param deadline Deadline for connecting.
     * @throws Error TargetUnreachable if connecting failed; no byte of a request has been sent.
     */
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(const Endpoint &peer, bool fresh, Instant deadline);
    //! Releases an exchange; its connection becomes idle if it is safe to reuse.
    void release(std::unique_ptr<ClientExchange> exchange);
    //! Closes all idle connections to a peer that stopped responding. Connections in use are closed
    //! when they are released.
    void closeIdleConnections(const Endpoint &peer);
    //! @return Number of idle connections to a peer.
    [[nodiscard]] std::size_t idle(const Endpoint &peer) const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
