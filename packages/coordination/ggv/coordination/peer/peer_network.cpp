#include <ggv/coordination/peer/peer_network.hpp>

#include <ggv/protocol/codec/codec.hpp>
#include <ggv/protocol/codec/peer_codec.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <map>
#include <set>

namespace ggv {

namespace {

constexpr std::size_t NonceBytes = 16;
constexpr auto ReconnectDelay = std::chrono::milliseconds(200);

std::string proofInput(const Bytes &nonce, const Hello &prover)
{
    std::string text(nonce.begin(), nonce.end());
    text += prover.host.text() + "/" + std::to_string(prover.process) + "/"
        + std::to_string(prover.member);
    return text;
}

} // namespace

class PeerNetwork::Implementation : public std::enable_shared_from_this<PeerNetwork::Implementation>
{
public:
    //! State of a connection, from accept or connect until it is closed.
    struct Link
    {
        std::shared_ptr<FrameConnection> connection;
        Bytes nonce; //!< Challenge sent to the peer.
        Hello peer; //!< The host is empty until the peer's Hello arrives.
        bool authenticated = false;
        bool dialled = false;
    };
    using LinkPtr = std::shared_ptr<Link>;

    Implementation(boost::asio::io_context &context, PeerIdentity identity,
                   const FrameOptions &options, PeerHandlers handlers)
        : m_context(context)
        , m_identity(std::move(identity))
        , m_options(options)
        , m_handlers(std::move(handlers))
    { }

    void listen(const Endpoint &endpoint)
    {
        m_listener = std::make_unique<FrameListener>(
            m_context, endpoint, m_options, [weak = weak_from_this()](auto connection) {
                if (const auto self = weak.lock())
                    self->startHandshake(std::move(connection), false);
            });
    }

    void connect(const HostName &host)
    {
        const Instant now = monotonicNow();
        if (host == m_identity.host || m_links.contains(host) || m_connecting.contains(host))
            return;
        if (const auto it = m_lastAttemptAt.find(host);
            it != m_lastAttemptAt.end() && now - it->second < ReconnectDelay)
            return;
        const auto endpoint = m_handlers.addressOf(host);
        if (!endpoint)
            return;
        m_lastAttemptAt[host] = now;
        m_connecting.insert(host);
        connectFrames(
            m_context, *endpoint, m_options,
            [weak = weak_from_this(), host](auto connection) {
                if (const auto self = weak.lock())
                    self->onDialled(host, std::move(connection));
            },
            [weak = weak_from_this(), host](ConnectFailure failure) {
                if (const auto self = weak.lock())
                    self->onDialFailed(host, failure);
            });
    }

    void onDialled(const HostName &host, std::shared_ptr<FrameConnection> connection)
    {
        m_connecting.erase(host);
        startHandshake(std::move(connection), true);
    }

    void onDialFailed(const HostName &host, ConnectFailure failure)
    {
        m_connecting.erase(host);
        if (failure == ConnectFailure::Refused && m_handlers.onRefused)
            m_handlers.onRefused(host, m_lastAttemptAt[host]);
    }

    void startHandshake(std::shared_ptr<FrameConnection> connection, bool dialled)
    {
        auto link = std::make_shared<Link>();
        link->connection = std::move(connection);
        link->nonce = randomBytes(NonceBytes);
        link->dialled = dialled;
        m_handshaking.insert(link);
        link->connection->start(
            [weak = weak_from_this(), link](ByteView bytes) {
                if (const auto self = weak.lock())
                    self->onReceived(link, bytes);
            },
            [weak = weak_from_this(), link](const Error &error) {
                if (const auto self = weak.lock())
                    self->onClosed(link, error);
            });
        transmit(*link, ownHello(link->nonce));
    }

    Hello ownHello(const Bytes &nonce) const
    {
        return Hello { WireVersion, m_identity.host, m_identity.process, m_identity.member, nonce };
    }

    void transmit(Link &link, const PeerMessage &message)
    {
        auto bytes = encodePeerMessage(message);
        m_bytesSent += bytes.size() + 4;
        link.connection->send(std::move(bytes));
    }

    void onReceived(const LinkPtr &link, ByteView bytes)
    {
        PeerMessage message = decodePeerMessage(bytes);
        if (link->authenticated)
            m_handlers.onMessage(link->peer.host, std::move(message));
        else if (const auto *hello = std::get_if<Hello>(&message))
            acceptHello(link, *hello);
        else if (const auto *proof = std::get_if<HelloProof>(&message))
            acceptProof(link, *proof);
        else
            throw Error(ResultCode::ProtocolViolation,
                        "peer sent a message before it authenticated");
    }

    void acceptHello(const LinkPtr &link, const Hello &hello)
    {
        if (hello.wireVersion != WireVersion)
            throw Error(ResultCode::ProtocolViolation, "peer uses a different wire version");
        if (hello.host == m_identity.host || !m_handlers.addressOf(hello.host))
            throw Error(ResultCode::PeerNotInRegister,
                        "host '" + hello.host.text() + "' is not in the register");
        link->peer = hello;
        const auto text = proofInput(hello.nonce, ownHello({}));
        transmit(*link, HelloProof { computeProof(m_identity.secret, text) });
    }

    void acceptProof(const LinkPtr &link, const HelloProof &proof)
    {
        const auto expected = computeProof(m_identity.secret, proofInput(link->nonce, link->peer));
        if (link->peer.host.empty() || !equalDigests(expected, proof.proof))
            throw Error(ResultCode::NotAuthorized,
                        "peer failed to prove knowledge of the shared secret");
        link->authenticated = true;
        m_handshaking.erase(link);
        replaceLink(link);
        m_handlers.onConnected(link->peer);
    }

    // A newer connection replaces the older one: the peer may have restarted.
    void replaceLink(const LinkPtr &link)
    {
        auto &slot = m_links[link->peer.host];
        if (slot)
            m_retired.push_back(std::exchange(slot, nullptr));
        slot = link;
        trimRetired(link->peer.host);
    }

    // Two hosts may connect to each other at the same time. The older connection is still read from
    // until it is closed, but no longer written to; at most one per host is retained.
    void trimRetired(const HostName &host)
    {
        std::size_t retained = 0;
        for (auto it = m_retired.rbegin(); it != m_retired.rend(); ++it) {
            if ((*it)->peer.host == host && ++retained > 1)
                (*it)->connection->close();
        }
        std::erase_if(m_retired, [&](const LinkPtr &link) {
            return link->peer.host == host && retained > 1 && link != m_retired.back();
        });
    }

    void onClosed(const LinkPtr &link, const Error &error)
    {
        m_handshaking.erase(link);
        std::erase(m_retired, link);
        if (error.code() == ResultCode::PeerNotInRegister
            || error.code() == ResultCode::NotAuthorized
            || error.code() == ResultCode::ProtocolViolation)
            logEvent(LogLevel::Warning, "peer-refused", { { "reason", error.what() } });
        const auto it = m_links.find(link->peer.host);
        if (it == m_links.end() || it->second != link)
            return;
        m_links.erase(it);
        m_handlers.onDisconnected(link->peer.host);
    }

    boost::asio::io_context &m_context;
    PeerIdentity m_identity;
    FrameOptions m_options;
    PeerHandlers m_handlers;
    std::unique_ptr<FrameListener> m_listener;
    std::map<HostName, LinkPtr> m_links;
    std::set<LinkPtr> m_handshaking;
    std::vector<LinkPtr> m_retired;
    std::set<HostName> m_connecting;
    std::map<HostName, Instant> m_lastAttemptAt;
    std::uint64_t m_bytesSent = 0;
};

PeerNetwork::PeerNetwork(boost::asio::io_context &context, PeerIdentity identity,
                         const FrameOptions &options, PeerHandlers handlers)
    : m_implementation(std::make_shared<Implementation>(context, std::move(identity), options,
                                                        std::move(handlers)))
{ }

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::listen(const Endpoint &endpoint) { m_implementation->listen(endpoint); }

void PeerNetwork::send(const HostName &host, const PeerMessage &message)
{
    const auto it = m_implementation->m_links.find(host);
    if (it == m_implementation->m_links.end())
        m_implementation->connect(host);
    else
        m_implementation->transmit(*it->second, message);
}

void PeerNetwork::connect(const HostName &host) { m_implementation->connect(host); }

bool PeerNetwork::isConnected(const HostName &host) const
{
    return m_implementation->m_links.contains(host);
}

std::vector<HostName> PeerNetwork::connectedHosts() const
{
    std::vector<HostName> hosts;
    for (const auto &[host, link] : m_implementation->m_links)
        hosts.push_back(host);
    return hosts;
}

void PeerNetwork::disconnect(const HostName &host)
{
    const auto it = m_implementation->m_links.find(host);
    if (it == m_implementation->m_links.end())
        return;
    const auto link = it->second;
    m_implementation->m_links.erase(it);
    link->connection->close();
    m_implementation->m_handlers.onDisconnected(host);
}

std::uint64_t PeerNetwork::bytesSent() const noexcept { return m_implementation->m_bytesSent; }

} // namespace ggv
