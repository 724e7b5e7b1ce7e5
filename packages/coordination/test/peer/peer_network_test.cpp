#include <ggv/coordination/peer/peer_network.hpp>
#include <ggv/protocol/codec/codec.hpp>
#include <ggv/protocol/codec/peer_codec.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <net/free_port.hpp>

#include <map>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using ggv::test::freePort;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const HostName LocalName { "here" };
const HostName RemoteName { "there" };
const HostName Unregistered { "stranger" };

//! A host with the events that its network reported.
struct Host
{
    PeerNetwork network;
    std::vector<HostName> connected;
    std::vector<PeerMessage> messages;
    int refused = 0;

    Host(asio::io_context &context, const HostName &name, const std::string &secret,
         const std::map<HostName, Endpoint> &addresses)
        : network(context, { name, 7, 0, secret }, FrameOptions {}, handlers(addresses))
    { }

    PeerHandlers handlers(const std::map<HostName, Endpoint> &addresses)
    {
        PeerHandlers handlers;
        handlers.addressOf = [addresses](const HostName &host) -> std::optional<Endpoint> {
            const auto it = addresses.find(host);
            return it == addresses.end() ? std::nullopt : std::optional(it->second);
        };
        handlers.onMessage = [this](const HostName &, PeerMessage message) {
            messages.push_back(std::move(message));
        };
        handlers.onConnected = [this](const Hello &hello) { connected.push_back(hello.host); };
        handlers.onDisconnected = [](const HostName &) {};
        handlers.onRefused = [this](const HostName &, Instant) { ++refused; };
        return handlers;
    }
};

//! A raw connection that sends arbitrary messages.
struct RawPeer
{
    std::shared_ptr<FrameConnection> connection;
    std::vector<PeerMessage> received;
    bool closed = false;

    ~RawPeer()
    {
        if (connection)
            connection->close();
    }

    void start(std::shared_ptr<FrameConnection> opened)
    {
        connection = std::move(opened);
        connection->start([this](ByteView bytes) { received.push_back(decodePeerMessage(bytes)); },
                          [this](const Error &) { closed = true; });
    }

    void send(const PeerMessage &message) const { connection->send(encodePeerMessage(message)); }
};

class PeerNetworkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNetworkTest);
    CPPUNIT_TEST(hostsWithTheSecretExchangeMessages);
    CPPUNIT_TEST(validProofIsAccepted);
    CPPUNIT_TEST(wrongSecretIsRejected);
    CPPUNIT_TEST(unregisteredHostIsRejected);
    CPPUNIT_TEST(ownHostNameIsRejected);
    CPPUNIT_TEST(invalidHandshakesAreRejected);
    CPPUNIT_TEST(refusedConnectionIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostsWithTheSecretExchangeMessages()
    {
        Host peer(m_context, RemoteName, "secret", m_addresses);
        peer.network.connect(LocalName);
        runUntil([&] {
            return m_host.network.isConnected(RemoteName) && peer.network.isConnected(LocalName);
        });
        const PeerMessage message = ConfigurationRequest { 5 };
        m_host.network.send(RemoteName, message);
        runUntil([&] { return !peer.messages.empty(); });
        CPPUNIT_ASSERT(peer.messages.front() == message);
    }

    void validProofIsAccepted()
    {
        RawPeer peer;
        authenticate(peer, RemoteName, "secret");
        runUntil([&] { return !m_host.messages.empty(); });
        CPPUNIT_ASSERT(m_host.connected == std::vector { RemoteName });
    }

    void wrongSecretIsRejected() { expectRejected(RemoteName, "other"); }
    void unregisteredHostIsRejected() { expectRejected(Unregistered, "secret"); }
    void ownHostNameIsRejected() { expectRejected(LocalName, "secret"); }

    void invalidHandshakesAreRejected()
    {
        const Hello hello { WireVersion, RemoteName, 1, 0, Bytes(16, 1) };
        const Hello otherWire { WireVersion + 1, RemoteName, 1, 0, Bytes(16, 1) };
        const HelloProof noProof { Bytes(32, 0) };
        const HelloProof emptyProof { Bytes {} };
        const ConfigurationRequest early { 5 };
        const std::vector<std::vector<PeerMessage>> handshakes {
            { early },          { hello, early },      { noProof },
            { hello, noProof }, { hello, emptyProof }, { otherWire },
        };
        for (const auto &messages : handshakes) {
            RawPeer peer;
            open(peer);
            for (const auto &message : messages)
                peer.send(message);
            runUntil([&] { return peer.closed; });
        }
        expectNothingAccepted();
    }

    void refusedConnectionIsReported()
    {
        m_host.network.connect(RemoteName);
        runUntil([&] { return m_host.refused > 0; });
        expectNothingAccepted();
    }

private:
    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(milliseconds(5));
        }
        CPPUNIT_ASSERT(condition());
    }

    void open(RawPeer &peer)
    {
        connectFrames(
            m_context, m_addresses.at(LocalName), FrameOptions {},
            [&peer](auto connection) { peer.start(std::move(connection)); },
            [](ConnectFailure) { CPPUNIT_FAIL("connection to the tested host failed"); });
        runUntil([&] { return peer.connection != nullptr; });
    }

    // Connects as a host and authenticates with a secret over the received nonce.
    void authenticate(RawPeer &peer, const HostName &name, const std::string &secret)
    {
        open(peer);
        runUntil([&] { return !peer.received.empty(); });
        const auto nonce = std::get<Hello>(peer.received.front()).nonce;
        std::string text(nonce.begin(), nonce.end());
        text += name.text() + "/1/0";
        peer.send(Hello { WireVersion, name, 1, 0, Bytes(16, 1) });
        peer.send(HelloProof { computeProof(secret, text) });
        peer.send(ConfigurationRequest { 5 });
    }

    void expectRejected(const HostName &name, const std::string &secret)
    {
        RawPeer peer;
        authenticate(peer, name, secret);
        runUntil([&] { return peer.closed; });
        expectNothingAccepted();
    }

    void expectNothingAccepted()
    {
        CPPUNIT_ASSERT(m_host.connected.empty());
        CPPUNIT_ASSERT(m_host.messages.empty());
        CPPUNIT_ASSERT(m_host.network.connectedHosts().empty());
    }

    asio::io_context m_context;
    std::map<HostName, Endpoint> m_addresses { { LocalName, { "127.0.0.1", freePort(m_context) } },
                                               { RemoteName,
                                                 { "127.0.0.1", freePort(m_context) } } };
    Host m_host { m_context, LocalName, "secret", m_addresses };

public:
    void setUp() override { m_host.network.listen(m_addresses.at(LocalName)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace
