#include <ggv/transport/net/frame_connection.hpp>

#include <memory>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using ggv::Bytes;
using ggv::FrameConnection;

constexpr std::size_t DeltaBytes = 300; //!< Approximate size of a state change of one target.

//! Relay with connections to its downstream hosts, all on one event loop.
class FanOut
{
public:
    explicit FanOut(std::size_t hosts)
        : m_listener(m_context, { "127.0.0.1", 0 }, {},
                     [this](auto connection) { onAccepted(std::move(connection)); })
    {
        for (std::size_t n = 0; n < hosts; ++n)
            connectHost();
        while (m_relayConnections.size() < hosts || m_hostConnections.size() < hosts)
            m_context.run_one();
    }

    // Sends one frame to each host and waits until all have received it.
    void broadcast(const Bytes &delta)
    {
        m_received = 0;
        for (const auto &it : m_relayConnections)
            it->send(delta);
        while (m_received < m_relayConnections.size())
            m_context.run_one();
    }

private:
    using Connections = std::vector<std::shared_ptr<FrameConnection>>;

    void connectHost()
    {
        ggv::connectFrames(
            m_context, { "127.0.0.1", m_listener.port() }, {},
            [this](auto connection) {
                connection->start([this](ggv::ByteView) { ++m_received; },
                                  [](const ggv::Error &) {});
                m_hostConnections.push_back(std::move(connection));
            },
            [](ggv::ConnectFailure) {});
    }

    void onAccepted(std::shared_ptr<FrameConnection> connection)
    {
        connection->start([](ggv::ByteView) {}, [](const ggv::Error &) {});
        m_relayConnections.push_back(std::move(connection));
    }

    boost::asio::io_context m_context { 1 };
    ggv::FrameListener m_listener;
    Connections m_relayConnections;
    Connections m_hostConnections;
    std::size_t m_received = 0;
};

// Time until every host has received a change; both ends of all connections share one core.
void relayFanOut(benchmark::State &state)
{
    FanOut fanOut(static_cast<std::size_t>(state.range(0)));
    const Bytes delta(DeltaBytes, 7);
    for ([[maybe_unused]] auto it : state)
        fanOut.broadcast(delta);
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(relayFanOut)->Arg(12)->Arg(113)->Arg(400)->Unit(benchmark::kMicrosecond);

} // namespace
