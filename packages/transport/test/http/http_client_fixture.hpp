#pragma once

#include <ggv/transport/http/http_client.hpp>

#include <net/raw_socket.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <poll.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace ggv::test {

inline const std::string CompleteAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

//! Result of a call.
struct Outcome
{
    std::optional<ResultCode> fault;
    std::string body;
    std::uint64_t bodyBytes = 0;
    bool started = false;
    bool reused = false;
};

//! Options of a call.
struct CallOptions
{
    bool readAnswer = true;
    bool readBody = true;
    bool cancel = false;
    bool fresh = false;
    bool keepBody = true; //!< False to only count the bytes of the response body.
    std::optional<std::uint64_t> contentLength;
    std::string body;
    std::string method = "GET";
    Duration limit = std::chrono::seconds(WaitSeconds);
};

//! A pool of client connections and an acceptor that plays its peer, on one event loop.
class HttpClientFixture : public CppUnit::TestFixture
{
protected:
    //! Steps of the event loop in which a call starts to connect.
    static constexpr int StartSteps = 100;

    using Pending = std::shared_ptr<std::optional<Outcome>>;

    Endpoint endpoint() const { return { "127.0.0.1", m_port }; }

    Pending call(const CallOptions &options) { return call(options, endpoint()); }

    Pending call(const CallOptions &options, const Endpoint &peer)
    {
        auto pending = std::make_shared<std::optional<Outcome>>();
        boost::asio::co_spawn(
            m_context, [this, options, peer, pending] { return run(options, peer, pending); },
            boost::asio::detached);
        // Not poll(): it would not return while another call reads an endless stream.
        m_context.restart();
        for (int n = 0; n < StartSteps; ++n)
            m_context.poll_one();
        return pending;
    }

    boost::asio::awaitable<void> run(CallOptions options, Endpoint peer, Pending pending)
    {
        Outcome outcome;
        std::unique_ptr<ClientExchange> exchange;
        try {
            const Instant deadline = monotonicNow() + options.limit;
            exchange = co_await m_pool.open(peer, options.fresh, deadline);
            co_await sendAndReceive(*exchange, options, deadline, outcome);
        } catch (const Error &error) {
            outcome.fault = error.code();
        }
        if (exchange) {
            outcome.started = exchange->requestStarted();
            outcome.reused = exchange->reused();
            m_pool.release(std::move(exchange));
        }
        *pending = outcome;
    }

    boost::asio::awaitable<void> sendAndReceive(ClientExchange &exchange,
                                                const CallOptions &options, Instant deadline,
                                                Outcome &outcome)
    {
        HttpRequestHead head;
        head.method = options.method;
        head.target = "/";
        head.contentLength = options.contentLength;
        co_await exchange.sendHead(head, deadline);
        if (head.hasBody()) {
            const std::span<const std::uint8_t> bytes(
                reinterpret_cast<const std::uint8_t *>(options.body.data()), options.body.size());
            co_await exchange.sendBody(bytes, deadline);
        }
        co_await exchange.finishRequest(deadline);
        if (!options.readAnswer)
            co_return;
        if (options.cancel)
            boost::asio::post(m_context, [&exchange] { exchange.cancel(); });
        (void)co_await exchange.readHead(deadline);
        std::array<std::uint8_t, 64> buffer {};
        const std::span<std::uint8_t> view(buffer);
        while (options.readBody) {
            const auto n = co_await exchange.readBody(view, deadline);
            if (n == 0)
                break;
            outcome.bodyBytes += n;
            if (options.keepBody)
                outcome.body.append(buffer.begin(),
                                    buffer.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    void runUntilDone(const Pending &pending)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2 * WaitSeconds);
        m_context.restart();
        while (!*pending && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_until(limit);
        }
    }

    Outcome finish(const Pending &pending)
    {
        runUntilDone(pending);
        CPPUNIT_ASSERT(pending->has_value());
        return **pending;
    }

    RawSocket acceptOne()
    {
        pollfd waiting { m_acceptor.native_handle(), POLLIN, 0 };
        CPPUNIT_ASSERT(::poll(&waiting, 1, WaitSeconds * 1000) > 0);
        return RawSocket(m_acceptor.accept());
    }

    // Runs the event loop until the request has arrived.
    void awaitRequest(RawSocket &peer)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(WaitSeconds);
        while (!peer.hasData() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(1));
        }
        peer.readUntil("\r\n\r\n");
    }

    RawSocket accept(const std::string &answer)
    {
        auto peer = acceptOne();
        awaitRequest(peer);
        peer.send(answer);
        return peer;
    }

    Outcome exchange(RawSocket &peer, const std::string &answer, const CallOptions &options = {})
    {
        peer.clearReceived();
        auto pending = call(options);
        awaitRequest(peer);
        peer.send(answer);
        return finish(pending);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor { m_context,
                                                { boost::asio::ip::address_v4::loopback(), 0 } };
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
    HttpClientPool m_pool { m_context, 4, std::chrono::seconds(60) };
};

} // namespace ggv::test
