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
 * @brief One request of a caller and the answer to it, on the loop of its connection.
 *
 * The body is read and the answer written piece by piece. Functions throw Error: RequestTimedOut,
 * MalformedRequest, BodyTooLarge for what the caller sent, CallerCancelled if it is gone.
 */
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    //! @return Method, target and headers.
    [[nodiscard]] virtual const HttpRequestHead &head() const noexcept = 0;
    //! @return IP address of the peer.
    [[nodiscard]] virtual std::string peerAddress() const = 0;
    //! Lowers the bound on the body of this request.
    virtual void limitBody(std::uint64_t bytes) = 0;
    //! Reads a piece of the body. @return Bytes read; 0 at its end.
    [[nodiscard]] virtual boost::asio::awaitable<std::size_t>
    readBody(std::span<std::uint8_t> buffer) = 0;
    //! Writes a whole answer.
    [[nodiscard]] virtual boost::asio::awaitable<void> answer(HttpAnswer answer) = 0;
    //! Writes the head of an answer whose body follows.
    [[nodiscard]] virtual boost::asio::awaitable<void> startAnswer(const HttpAnswerHead &head) = 0;
    //! Writes a piece of the answer's body.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    writeBody(std::span<const std::uint8_t> bytes) = 0;
    //! Ends an answer whose body is whole.
    [[nodiscard]] virtual boost::asio::awaitable<void> finishAnswer() = 0;
    //! Cuts the connection so that the caller sees an answer that is not whole.
    virtual void abort() noexcept = 0;
    //! @return True once a byte of the answer may have left.
    [[nodiscard]] virtual bool answerStarted() const noexcept = 0;
    //! Calls a function, at most once, if the caller closes before the answer is finished.
    virtual void watchCaller(std::function<void()> onGone) = 0;
};

//! Handles one request; must answer or abort it.
using HttpHandler = std::function<boost::asio::awaitable<void>(ServerExchange &)>;

//! Makes the answer to a request that could not be read.
using HttpFaultAnswer = std::function<HttpAnswer(ResultCode code, const std::string &message)>;

//! An HTTP/1.1 server on one address.
class HttpServer
{
public:
    /**
     * @brief Binds and starts to accept.
     * @param pool Loops that connections are spread over.
     * @param endpoint Where to listen; port 0 takes a free one.
     * @param limits Bounds on peers.
     * @param handler Called for each request.
     * @param faultAnswer Called for each request that could not be read.
     * @return The server, or ConnectionLost if the address cannot be bound.
     */
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    listen(IoPool &pool, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler,
           HttpFaultAnswer faultAnswer);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! @return Port that is listened on.
    [[nodiscard]] std::uint16_t port() const noexcept;
    //! @return Requests being handled.
    [[nodiscard]] std::size_t activeRequests() const noexcept;
    //! Announces the end of each connection with its next answer; connections are still accepted.
    void closeAfterAnswers() noexcept;
    //! Stops accepting; open connections go on.
    void stopAccepting();

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
