#include <ggv/ctl/http_call.hpp>

#include <ggv/transport/http/http_client.hpp>

#include <array>
#include <bit>
#include <exception>
#include <span>

#include <boost/asio/co_spawn.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ChunkBytes = 16UL * 1024;
constexpr std::size_t MaxAnswerBytes = 128UL * 1024 * 1024;
static_assert(std::has_single_bit(MaxAnswerBytes));
constexpr Duration IdleTimeout = std::chrono::seconds(1);

// Doubles the memory as it fills up; a power of two, so that the limit is met exactly.
void append(std::string &body, std::span<const std::uint8_t> bytes)
{
    const std::size_t size = body.size() + bytes.size();
    if (size > MaxAnswerBytes)
        throw Error(ResultCode::BodyTooLarge, "the response body exceeds 128 MiB");
    if (size > body.capacity())
        body.reserve(std::bit_ceil(size));
    body.append(bytes.begin(), bytes.end());
}

asio::awaitable<HttpAnswer> readAnswer(ClientExchange &exchange, Instant deadline)
{
    const HttpAnswerHead head = co_await exchange.readHead(deadline);
    HttpAnswer answer;
    answer.status = head.status;
    answer.headers = head.headers;
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (const std::size_t n = co_await exchange.readBody(chunk, deadline))
        append(answer.body, std::span(chunk).first(n));
    co_return answer;
}

asio::awaitable<HttpAnswer> exchangeMessages(ClientExchange &exchange, const HttpCall &call,
                                             Instant deadline)
{
    const std::vector<std::uint8_t> body(call.body.begin(), call.body.end());
    co_await exchange.sendHead(call.head, deadline);
    if (!body.empty())
        co_await exchange.sendBody(body, deadline);
    co_await exchange.finishRequest(deadline);
    co_return co_await readAnswer(exchange, deadline);
}

asio::awaitable<HttpAnswer> sendOnNewConnection(HttpClientPool &pool, const Endpoint &peer,
                                                const HttpCall &call, Instant deadline)
{
    const auto exchange = co_await pool.open(peer, true, deadline);
    try {
        co_return co_await exchangeMessages(*exchange, call, deadline);
    } catch (const Error &error) {
        const auto code = exchange->requestStarted() ? ResultCode::ConnectionLost
                                                     : ResultCode::TargetUnreachable;
        throw Error(code, error.what());
    }
}

} // namespace

HttpAnswer callHttp(const Endpoint &peer, const HttpCall &call, Duration timeout)
{
    asio::io_context context(1);
    HttpClientPool pool(context, 1, IdleTimeout);
    const Instant deadline = monotonicNow() + timeout;
    std::exception_ptr failure;
    HttpAnswer answer;
    asio::co_spawn(context, sendOnNewConnection(pool, peer, call, deadline),
                   [&](const std::exception_ptr &thrown, HttpAnswer received) {
                       failure = thrown;
                       answer = std::move(received);
                       context.stop();
                   });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return answer;
}

} // namespace ggv
