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
 * @brief One request to a peer and its answer, on the loop of its pool.
 *
 * Functions throw Error: PeerSilent if nothing moved until the deadline, TargetConnectionLost,
 * TargetAnswerTruncated, CallerCancelled after cancel().
 */
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    //! Sends the head; a body follows with sendBody() and finishRequest().
    [[nodiscard]] virtual boost::asio::awaitable<void> sendHead(const HttpRequestHead &head,
                                                                Instant deadline)
        = 0;
    //! Sends a piece of the body.
    [[nodiscard]] virtual boost::asio::awaitable<void> sendBody(std::span<const std::uint8_t> bytes,
                                                                Instant deadline)
        = 0;
    //! Ends the body.
    [[nodiscard]] virtual boost::asio::awaitable<void> finishRequest(Instant deadline) = 0;
    //! Reads the head of the answer.
    [[nodiscard]] virtual boost::asio::awaitable<HttpAnswerHead> readHead(Instant deadline) = 0;
    //! Reads a piece of the answer's body. @return Bytes read; 0 at its whole end.
    [[nodiscard]] virtual boost::asio::awaitable<std::size_t>
    readBody(std::span<std::uint8_t> buffer, Instant deadline) = 0;
    //! @return True once a byte of the request may have reached the peer.
    [[nodiscard]] virtual bool requestStarted() const noexcept = 0;
    //! @return True if the connection had served another request before.
    [[nodiscard]] virtual bool reused() const noexcept = 0;
    //! Closes the connection; pending functions throw CallerCancelled.
    virtual void cancel() noexcept = 0;
};

/**
 * @brief Connections to peers, kept for reuse; belongs to one loop.
 *
 * A connection is kept only after a whole request and a whole answer with nothing left over.
 */
class HttpClientPool
{
public:
    /**
     * @brief Creates an empty pool.
     * @param context The loop.
     * @param maxIdlePerPeer Connections kept for each peer.
     * @param idleTimeout A kept connection is closed after this long.
     */
    HttpClientPool(boost::asio::io_context &context, std::size_t maxIdlePerPeer,
                   Duration idleTimeout);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /**
     * @brief Takes a kept connection or opens one.
     * @param peer Where to.
     * @param fresh True: never a kept one, so that a reset cannot be the peer's idle close.
     * @param deadline For connecting.
     * @throws Error TargetUnreachable; no byte of a request has been sent then.
     */
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<ClientExchange>>
    open(const Endpoint &peer, bool fresh, Instant deadline);
    //! Gives back an exchange; keeps its connection if that is safe.
    void giveBack(std::unique_ptr<ClientExchange> exchange);
    //! Drops every kept connection to a peer and keeps none that is open now: one went silent.
    void retire(const Endpoint &peer);
    //! @return Kept connections to a peer.
    [[nodiscard]] std::size_t idle(const Endpoint &peer) const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
