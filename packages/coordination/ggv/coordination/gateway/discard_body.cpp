#include <ggv/coordination/gateway/discard_body.hpp>

#include <algorithm>
#include <array>

namespace ggv {

namespace {

//! A longer body costs more than a new connection.
constexpr std::size_t MaxDiscardedBytes = 4UL * 1024;
//! The body of a short response mostly arrives with its head.
constexpr Duration DiscardTimeout = std::chrono::milliseconds(20);

boost::asio::awaitable<void> readToEnd(ClientExchange &exchange, std::uint64_t announced,
                                       Instant deadline)
{
    std::array<std::uint8_t, MaxDiscardedBytes> chunk;
    std::size_t total = 0;
    while (announced <= MaxDiscardedBytes && total <= MaxDiscardedBytes) {
        const std::size_t n = co_await exchange.readBody(chunk, deadline);
        if (n == 0)
            co_return;
        total += n;
    }
    throw Error(ResultCode::ProtocolViolation, "body is too long to be discarded");
}

} // namespace

boost::asio::awaitable<std::optional<Error>>
discardBody(ClientExchange &exchange, const HttpAnswerHead &head, Instant deadline)
{
    const std::uint64_t announced = head.noBody ? 0 : head.contentLength.value_or(0);
    const Instant end = std::min(deadline, monotonicNow() + DiscardTimeout);
    try {
        co_await readToEnd(exchange, announced, end);
    } catch (const Error &error) {
        co_return error;
    }
    co_return std::nullopt;
}

} // namespace ggv
