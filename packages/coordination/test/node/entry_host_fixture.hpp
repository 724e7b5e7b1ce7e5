#pragma once

#include <ggv/coordination/node/node.hpp>
#include <ggv/transport/net/io_pool.hpp>

#include <gateway/scripted_target.hpp>
#include <net/free_port.hpp>
#include <net/raw_socket.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace ggv::test {

//! A file folder that is removed on destruction.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string path = (std::filesystem::temp_directory_path() / "ggv-node-XXXXXX").string();
        if (::mkdtemp(path.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary folder");
        m_path = path;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const noexcept { return m_path; }

private:
    std::filesystem::path m_path;
};

//! An entry host that is the only voter of its system, with scripted targets of the service "shop".
class EntryHostFixture
{
public:
    EntryHostFixture() = default;
    ~EntryHostFixture() { m_pool.stop(); }
    EntryHostFixture(const EntryHostFixture &) = delete;
    EntryHostFixture &operator=(const EntryHostFixture &) = delete;

    void addTarget(ScriptedTarget::Script script)
    {
        m_targets.push_back(std::make_unique<ScriptedTarget>(m_pool.context(0), std::move(script)));
    }

    //! Starts the host and waits until targets answer through it. @return False if they do not.
    bool start()
    {
        m_pool.start();
        const auto registerPath = m_folder.path() / "register.toml";
        std::ofstream(registerPath) << registerText();
        NodeSetup setup { settings(registerPath.string()), true };
        m_node = Node::start(std::move(setup)).value();
        return isReady();
    }

    //! Sends a non-idempotent request. @return The connection.
    RawSocket sendPost(const std::string &key)
    {
        return send("POST /orders HTTP/1.1\r\nIdempotency-Key: " + key + "\r\n", "body");
    }
    //! Sends an idempotent request. @return The connection.
    RawSocket sendGet() { return send("GET /x HTTP/1.1\r\n", ""); }
    //! @return Response to a non-idempotent request.
    std::string post(const std::string &key) { return sendPost(key).readToEnd(); }
    //! @return Response to an idempotent request.
    std::string get() { return sendGet().readToEnd(); }

    std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto &it : m_targets)
            count += it->requests().size();
        return count;
    }

private:
    RawSocket send(const std::string &start, const std::string &body)
    {
        auto socket = RawSocket::connect(m_callers, m_ports[0]);
        socket.send(start + "Host: shop\r\nGgv-Timeout-Ms: 2000\r\nConnection: close\r\n"
                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return socket;
    }

    // Requests are served once a register is in force and the host holds a lease for the targets;
    // keys are claimed once the claim group has a leader.
    bool isReady()
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(WaitSeconds);
        while (std::chrono::steady_clock::now() < end) {
            const auto key = "ready-" + std::to_string(++m_readyKeys);
            if (get().starts_with("HTTP/1.1 200") && post(key).starts_with("HTTP/1.1 200"))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    Settings settings(const std::string &registerPath) const
    {
        Settings settings;
        settings.host = HostName("a-1");
        settings.domain = FailureDomainName("a");
        settings.callers = { "127.0.0.1", m_ports[0] };
        settings.operators = { "127.0.0.1", m_ports[1] };
        settings.internal = { "127.0.0.1", m_ports[2] };
        settings.dataFolder = (m_folder.path() / "data").string();
        settings.threads = 1;
        settings.secret = "secret";
        settings.bootstrapRegister = registerPath;
        return settings;
    }

    static std::string address(std::uint16_t port)
    {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    }

    std::string registerText() const
    {
        std::string text = R"(
[control]
voters = ["a-1"]

[[claim_group]]
name = "orders"
voters = ["a-1"]

[[region]]
name = "north"

[[failure_domain]]
name = "a"
region = "north"

[[service]]
name = "shop"
claim_group = "orders"

[[service.non_idempotent]]
method = "POST"
path_prefix = "/orders"

[[entry_host]]
name = "a-1"
domain = "a"
disk = true
)";
        text += "callers = " + address(m_ports[0]) + "operators = " + address(m_ports[1])
            + "internal = " + address(m_ports[2]);
        for (std::size_t n = 0; n < m_targets.size(); ++n)
            text += "\n[[target]]\nname = \"shop-" + std::to_string(n)
                + "\"\nservice = \"shop\"\ndomain = \"a\"\nslots = 4\nconnections = 10\nendpoint = "
                + address(m_targets[n]->endpoint().port);
        return text;
    }

    TemporaryFolder m_folder;
    IoPool m_pool { 1 };
    boost::asio::io_context m_callers;
    std::vector<std::uint16_t> m_ports { freePort(m_callers), freePort(m_callers),
                                         freePort(m_callers) };
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
    std::unique_ptr<Node> m_node;
    int m_readyKeys = 0;
};

} // namespace ggv::test
