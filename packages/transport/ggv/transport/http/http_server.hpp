#pragma once

#include <ggv/state/core/result.hpp>
#include <ggv/state/model/entities.hpp>
#include <ggv/transport/http/http_types.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <functional>
#include <memory>
#include <span>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief A request from a caller and its response; runs on the event loop of its connection.
 *
 * The request body and the response body are streamed in chunks. Functions throw Error:
 * RequestTimedOut, MalformedRequest or BodyTooLarge if the request is slow or invalid, and
 * CallerCancelled if the caller has disconnected.
 */
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    //! @return The request's method, target and headers.
    [[nodiscard]] virtual const HttpRequestHead &head() const noexcept = 0;
    //! @return IP address of the peer.
    [[nodiscard]] virtual std::string peerAddress() const = 0;
    //! Sets the maximum body size of this request.
    virtual void setBodyLimit(std::uint64_t bytes) = 0;
    //! Reads a chunk of the request body. @return Number of bytes read; 0 at the end of the body.
    [[nodiscard]] virtual boost::asio::awaitable<std::size_t>
    readBody(std::span<std::uint8_t> buffer) = 0;
    //! Writes a complete response.
    [[nodiscard]] virtual boost::asio::awaitable<void> answer(HttpAnswer answer) = 0;
    //! Writes the head of a streamed response.
    [[nodiscard]] virtual boost::asio::awaitable<void> startAnswer(const HttpAnswerHead &head) = 0;
    //! Writes a chunk of the response body.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    writeBody(std::span<const std::uint8_t> bytes) = 0;
    //! Completes a streamed response.
    [[nodiscard]] virtual boost::asio::awaitable<void> finishAnswer() = 0;
    //! Resets the connection so that the caller detects a truncated response.
    virtual void abort() noexcept = 0;
    //! @return True once any byte of the response may have been sent.
    [[nodiscard]] virtual bool answerStarted() const noexcept = 0;
    //! Calls onDisconnect at most once if the caller closes before the response is complete.
    virtual void notifyOnDisconnect(std::function<void()> onDisconnect) = 0;
};

//! Handles a request; must send a response or abort the exchange.
using HttpHandler = std::function<boost::asio::awaitable<void>(ServerExchange &)>;

//! Creates the response to a request that could not be read.
using HttpFaultAnswer = std::function<HttpAnswer(ResultCode code, const std::string &message)>;

//! HTTP/1.1 server that listens on one address.
class HttpServer
{
public:
    /**
     * @brief Binds the address and starts accepting connections.
     * @param pool Event loops that connections are distributed over.
     * @param endpoint Address to listen on; port 0 selects a free port.
     * @param limits Limits on requests and connections.
     * @param handler Called for each request.
     * @param faultAnswer Creates the response to each request that could not be read.
     * @return The server, or ConnectionLost if the address cannot be bound.
     */
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    listen(IoPool &pool, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler,
           HttpFaultAnswer faultAnswer);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! @return Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;
    //! @return Number of requests in progress.
    [[nodiscard]] std::size_t activeRequests() const noexcept;
    //! Closes each connection after its next response; new connections are still accepted.
    void closeAfterAnswers() noexcept;
    //! Stops accepting connections; open connections close after their next response.
    void stopAccepting();

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
