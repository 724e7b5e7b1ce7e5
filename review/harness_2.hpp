#pragma once

// Parts shared by the scripted cases of the second review: processes of the system with settings as
// the platform writes them, HTTP over blocking sockets, the platform's list, and the record.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitNotRun = 2;

inline void sleepFor(double seconds) { std::this_thread::sleep_for(Seconds(seconds)); }

//! Writes each line with the time since the start to a file and to standard output.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    { }
    ~Record()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }

    double now() const { return Seconds(Clock::now() - m_start).count(); }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::scoped_lock lock(m_mutex);
        const double at = now();
        std::printf("%8.3f s  %s\n", at, text);
        std::fflush(stdout);
        if (m_file == nullptr)
            return;
        std::fprintf(m_file, "%8.3f s  %s\n", at, text);
        std::fflush(m_file);
    }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    Clock::time_point m_start = Clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text)
{
    for (auto &it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name))
            return value;
    }
    return {};
}

//! A socket with blocking calls that end at a deadline.
class Socket
{
public:
    explicit Socket(int number = -1)
        : m_number(number)
    { }
    Socket(Socket &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    { }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        m_number = std::exchange(other.m_number, -1);
        return *this;
    }
    ~Socket() { close(); }

    int number() const { return m_number; }
    bool valid() const { return m_number >= 0; }

    void close()
    {
        if (m_number >= 0)
            ::close(m_number);
        m_number = -1;
    }

    static sockaddr_in address(const std::string &ip, int port)
    {
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
        return it;
    }

    static Socket connect(const std::string &ip, int port, double timeout)
    {
        Socket it(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        const auto remote = address(ip, port);
        if (::connect(it.m_number, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0)
            return it;
        if (errno != EINPROGRESS || !it.wait(POLLOUT, timeout))
            return Socket();
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(it.m_number, SOL_SOCKET, SO_ERROR, &error, &size);
        return error == 0 ? std::move(it) : Socket();
    }

    static Socket listen(const std::string &ip, int port)
    {
        Socket it(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const int yes = 1;
        ::setsockopt(it.m_number, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto local = address(ip, port);
        if (::bind(it.m_number, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
            || ::listen(it.m_number, 256) != 0)
            return Socket();
        return it;
    }

    bool wait(short events, double timeout) const
    {
        pollfd it { m_number, events, 0 };
        return ::poll(&it, 1, static_cast<int>(std::max(timeout, 0.0) * 1000)) > 0;
    }

    bool send(const std::string &text, double timeout) const
    {
        std::size_t sent = 0;
        const auto end = Clock::now() + Seconds(timeout);
        while (sent < text.size()) {
            const auto n = ::send(m_number, text.data() + sent, text.size() - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                sent += static_cast<std::size_t>(n);
                continue;
            }
            if (n < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            if (!wait(POLLOUT, Seconds(end - Clock::now()).count()))
                return false;
        }
        return true;
    }

    //! Appends what arrives. Returns the number of bytes; 0 at the end, -1 on failure or time-out.
    int receive(std::string &text, double timeout) const
    {
        if (!wait(POLLIN, timeout))
            return -1;
        char buf[16384];
        const auto n = ::recv(m_number, buf, sizeof buf, 0);
        if (n > 0)
            text.append(buf, static_cast<std::size_t>(n));
        return static_cast<int>(n);
    }

private:
    int m_number;
};

//! A request or response whose body has a length.
struct Message
{
    std::string start; //!< Request line or status line.
    Headers headers;
    std::string body;

    int status() const
    {
        const auto space = start.find(' ');
        return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

//! Reads one message; bytes that follow stay in the buffer.
inline std::optional<Message> readMessage(const Socket &socket, std::string &buffer, double timeout)
{
    const auto end = Clock::now() + Seconds(timeout);
    const auto left = [end] { return Seconds(end - Clock::now()).count(); };
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (socket.receive(buffer, left()) <= 0)
            return std::nullopt;
    }
    Message message;
    std::istringstream lines(buffer.substr(0, headEnd));
    std::getline(lines, message.start);
    if (!message.start.empty() && message.start.back() == '\r')
        message.start.pop_back();
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto length
        = std::strtoul(headerOf(message.headers, "Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < headEnd + 4 + length) {
        if (socket.receive(buffer, left()) <= 0)
            return std::nullopt;
    }
    message.body = buffer.substr(headEnd + 4, length);
    buffer.erase(0, headEnd + 4 + length);
    return message;
}

//! Sends a request on a new connection and reads the response.
inline std::optional<Message> call(const std::string &ip, int port, const std::string &method,
                                   const std::string &target, const Headers &headers,
                                   const std::string &body, double timeout)
{
    const auto socket = Socket::connect(ip, port, timeout);
    if (!socket.valid())
        return std::nullopt;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (headerOf(headers, "Host").empty())
        text += "Host: " + ip + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    std::string buffer;
    if (!socket.send(text, timeout))
        return std::nullopt;
    return readMessage(socket, buffer, timeout);
}

//! HTTP server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(const Socket &, const Message &)>;

    Server(const std::string &ip, int port, Handler handler)
        : m_socket(Socket::listen(ip, port))
        , m_handler(std::move(handler))
    {
        if (m_socket.valid())
            m_thread = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_stopped = true;
        if (m_thread.joinable())
            m_thread.join();
        while (m_connections > 0)
            sleepFor(0.01);
    }

    bool valid() const { return m_socket.valid(); }

private:
    void accept()
    {
        while (!m_stopped) {
            if (!m_socket.wait(POLLIN, 0.1))
                continue;
            const int number = ::accept4(m_socket.number(), nullptr, nullptr, SOCK_CLOEXEC);
            if (number < 0)
                continue;
            ++m_connections;
            std::thread([this, number] { serve(Socket(number)); }).detach();
        }
    }

    void serve(Socket socket)
    {
        std::string buffer;
        while (!m_stopped) {
            if (buffer.empty() && !socket.wait(POLLIN, 0.1))
                continue;
            const auto message = readMessage(socket, buffer, 5);
            if (!message)
                break;
            m_handler(socket, *message);
        }
        socket.close();
        --m_connections;
    }

    Socket m_socket;
    Handler m_handler;
    std::thread m_thread;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_connections { 0 };
};

inline void answer(const Socket &socket, int status, const Headers &headers,
                   const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    (void)socket.send(text, 5);
}

inline constexpr int FrontPort = 8161;
inline constexpr int ReadyPort = 8167;
inline constexpr int ControlPort = 8166;
inline constexpr int DirectoryPort = 8168;
inline constexpr int ListPort = 8169;
inline constexpr int FirstInternalPort = 7720;

//! What all machines of a deployment share; bounds as in the site plmsso-glb.
struct Deployment
{
    std::string program;
    std::string folder;
    std::string network; //!< First three numbers of all addresses, in 127.0.0.0/8.
    std::vector<std::string> seeds;
    std::vector<std::pair<std::string, std::string>> zones {
        { "north-a", "north" }, { "central-a", "central" }, { "south-a", "south" },
        { "north-b", "north" }, { "central-b", "central" }, { "south-b", "south" },
    };

    std::string address(int host) const { return network + "." + std::to_string(host); }
    std::string listAddress() const { return address(250); }
};

//! Chooses addresses on which the ports of the system are free.
inline std::string freeNetwork()
{
    std::srand(static_cast<unsigned>(::getpid()));
    for (int n = 0; n < 50; ++n) {
        const std::string network = "127." + std::to_string(60 + std::rand() % 180) + "."
            + std::to_string(std::rand() % 250);
        bool isFree = true;
        for (const int port : { FrontPort, ControlPort, ListPort, FirstInternalPort })
            isFree = isFree && Socket::listen(network + ".1", port).valid();
        if (isFree)
            return network;
    }
    return {};
}

//! One machine of the system; its process runs as the deploy file says.
class Machine
{
public:
    Machine(const Deployment &deployment, bool isCore, int host)
        : m_deployment(deployment)
        , m_isCore(isCore)
        , m_host(host)
        , m_folder(deployment.folder + "/" + name())
    {
        std::filesystem::create_directories(m_folder + "/data");
    }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;
    ~Machine() { kill(); }

    std::string name() const { return (m_isCore ? "core-" : "edge-") + std::to_string(m_host); }
    std::string address() const { return m_deployment.address(m_host); }
    const std::string &folder() const { return m_folder; }
    pid_t pid() const { return m_pid; }

    //! Writes the settings and starts the process. @param bootstrap Only at the very first start.
    void start(bool bootstrap)
    {
        writeSettings(bootstrap);
        const std::string settings = m_folder + "/node.toml";
        const std::string log = m_folder + "/log";
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("GREENGAGEVALVE_CONFIG", settings.c_str(), 1);
        ::execl(m_deployment.program.c_str(), m_deployment.program.c_str(), "--platform", nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    //! True while the process runs.
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }

    void wipe() const
    {
        std::filesystem::remove_all(m_folder + "/data");
        std::filesystem::create_directories(m_folder + "/data");
    }

    std::string log() const
    {
        std::ifstream in(m_folder + "/log");
        return { std::istreambuf_iterator<char>(in), {} };
    }

private:
    void writeSettings(bool bootstrap) const
    {
        const auto &[zone, region] = m_deployment.zones[(m_host - 1) % m_deployment.zones.size()];
        std::ofstream out(m_folder + "/node.toml");
        out << "nodeName = \"" << name() << "\"\nrole = \"" << (m_isCore ? "control" : "entry")
            << "\"\nmachineClass = \"" << (m_isCore ? "core" : "edge") << "\"\nserves = ["
            << (m_isCore ? "\"control_plane\",\"directory\"" : "\"edge\"") << "]\nip = \""
            << address() << "\"\nzone = \"" << zone << "\"\nregion = \"" << region
            << "\"\ninternalPorts = [7720,7735]\nseeds = [";
        for (std::size_t n = 0; n < m_deployment.seeds.size(); ++n)
            out << (n == 0 ? "\"" : ",\"") << m_deployment.seeds[n] << ":" << ControlPort << "\"";
        out << "]\nbootstrap = " << (bootstrap ? "true" : "false")
            << "\nlossCounts = " << (m_isCore ? "true" : "false")
            << "\ndiscovery = \"cloud_api\"\nentry = \"directory\"\nheartbeat = \"1500ms\"\n";
        if (m_isCore)
            out << "dataDir = \"" << m_folder << "/data\"\n";
        out << "contracts = "
               "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"]\n"
               "bounds = [\"seedLag=3s\",\"addrReuse=2s\",\"contact=3000ms\",\"ackTimeout=4000ms\","
               "\"catchUp=4s\",\"drain=3000ms\",\"grace=6s\",\"lossSlack=200ms\","
               "\"configApply=2000ms\",\"rollbackSlack=250ms\",\"maxStretch=5000ms\","
               "\"retryBudgetRatio=0.2\",\"budgetWindow=10s\",\"budgetSlack=58\","
               "\"coldMultiplier=1.5\",\"coldSlack=5\",\"evacuate=5000ms\",\"recovery=15s\","
               "\"ttl_max=5s\",\"maxRegionShift=0.15\"]\n[zones]\n";
        for (const auto &[key, value] : m_deployment.zones)
            out << key << " = \"" << value << "\"\n";
        out << "[listen]\n";
        if (m_isCore)
            out << "control = \"" << address() << ":" << ControlPort << "\"\ndirectory = \""
                << address() << ":" << DirectoryPort << "\"\n";
        else
            out << "front = \"" << address() << ":" << FrontPort << "\"\nready = \"" << address()
                << ":" << ReadyPort << "\"\n";
        out << "[limits]\ncpuShare = 0.3\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
               "linkMbps = 1000.0\ndiskMb = "
            << (m_isCore ? 256 : 0)
            << "\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 1\n[cloud]\naddr = \""
            << m_deployment.listAddress() << ":" << ListPort
            << "\"\nratePerS = 47.0\nduties = []\nmaxLag = \"800ms\"\n";
    }

    const Deployment &m_deployment;
    bool m_isCore;
    int m_host;
    std::string m_folder;
    pid_t m_pid = 0;
};

//! The operator: calls one control host after the other and follows redirections.
class Operator
{
public:
    using Hosts = std::function<std::vector<std::string>()>;

    Operator(Record &record, Hosts hosts)
        : m_record(record)
        , m_hosts(std::move(hosts))
    { }

    //! Sends an order until it is answered with 200 or 4xx, or the time has passed. Returns the
    //! last status; 0 without a response.
    int order(const std::string &target, const Headers &headers, const std::string &body,
              double timeout)
    {
        const auto end = Clock::now() + Seconds(timeout);
        int status = 0;
        while (Clock::now() < end) {
            for (const auto &host : m_hosts()) {
                const auto reply = send(host, "POST", target, headers, body);
                status = reply ? reply->status() : 0;
                if (status == 200
                    || (status >= 400 && status < 500 && status != 408 && status != 429))
                    return status;
                if (Clock::now() >= end)
                    break;
            }
            sleepFor(0.2);
        }
        return status;
    }

    int replace(std::uint64_t base, const std::string &document, double timeout)
    {
        return order(
            "/Config.Replace",
            { { "X-Base-Version", std::to_string(base) }, { "Content-Type", "application/json" } },
            document, timeout);
    }

    //! Reads the configuration until some host answers 200 or the time has passed.
    std::optional<std::string> read(double timeout)
    {
        const auto end = Clock::now() + Seconds(timeout);
        while (Clock::now() < end) {
            for (const auto &host : m_hosts()) {
                const auto reply = send(host, "GET", "/Config.Read", {}, "");
                if (reply && reply->status() == 200)
                    return reply->body;
            }
            sleepFor(0.2);
        }
        return std::nullopt;
    }

    std::optional<Message> send(std::string ip, const std::string &method,
                                const std::string &target, const Headers &headers,
                                const std::string &body)
    {
        std::optional<Message> reply;
        for (int redirects = 0; redirects <= 2; ++redirects) {
            reply = call(ip, ControlPort, method, target, headers, body, 1.0);
            recordReply(method + " " + target + " at " + ip,
                        reply ? std::to_string(reply->status()) : "no response");
            if (!reply || reply->status() != 307)
                return reply;
            const auto location = headerOf(reply->headers, "Location");
            const auto from = location.find("//") + 2;
            ip = location.substr(from, location.find(':', from) - from);
        }
        return reply;
    }

private:
    // A call that is repeated with the same result is recorded once.
    void recordReply(const std::string &what, const std::string &result)
    {
        auto &[known, count] = m_replies[what];
        ++count;
        if (known == result)
            return;
        known = result;
        m_record.line("operator: %s -> %s (call %d)", what.c_str(), result.c_str(), count);
    }

    Record &m_record;
    Hosts m_hosts;
    std::map<std::string, std::pair<std::string, int>> m_replies;
};

//! A worker as the platform's list names it.
struct ListedWorker
{
    std::string service;
    std::string address;
    std::string zone;
    std::string version = "\"v1\"";
    int slots = 9;
    std::string state = "ready";
    std::string id;
};

//! The platform's list.
class List
{
public:
    explicit List(const Deployment &deployment)
        : m_server(deployment.listAddress(), ListPort,
                   [this](const Socket &socket, const Message &) { serve(socket); })
    { }

    bool valid() const { return m_server.valid(); }

    void set(std::vector<ListedWorker> workers)
    {
        const std::scoped_lock lock(m_mutex);
        m_workers = std::move(workers);
    }

private:
    void serve(const Socket &socket)
    {
        std::string rows;
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &it : m_workers)
                rows += (rows.empty() ? "[\"" : ",[\"") + it.service + "\",\"" + it.address
                    + "\",\"" + it.zone + "\"," + it.version + "," + std::to_string(it.slots)
                    + ",\"" + it.state + "\",\"0ms\",\"" + it.id + "\"]";
        }
        answer(socket, 200, { { "Content-Type", "application/json" } },
               "{\"instances\":{\"columns\":[\"service\",\"addr\",\"zone\",\"version\",\"slots\","
               "\"state\",\"coldRemaining\",\"id\"],\"rows\":["
                   + rows + "]},\"nextToken\":null}");
    }

    std::mutex m_mutex;
    std::vector<ListedWorker> m_workers;
    Server m_server;
};

//! A route of a configuration document.
inline std::string route(const std::string &name, const std::string &prefix,
                         const std::string &kind, const std::string &service, int timeoutMs = 3000)
{
    return "\"" + name + "\":{\"host\":\"kits.example\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + std::to_string(timeoutMs)
        + "ms\",\"targetLatency\":\"500ms\",\"priority\":1,\"service\":\"" + service
        + "\",\"maxAttempts\":2,\"sticky\":false,\"homeRegions\":[]}";
}

//! A configuration with the given routes and services.
inline std::string document(std::uint64_t version, const std::vector<std::string> &routes,
                            const std::vector<std::string> &services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":{";
    for (std::size_t n = 0; n < routes.size(); ++n)
        text += (n == 0 ? "" : ",") + routes[n];
    text += "},\"services\":{";
    for (std::size_t n = 0; n < services.size(); ++n)
        text += (n == 0 ? "\"" : ",\"") + services[n]
            + "\":{\"healthPath\":\"/health\",\"maxConns\":330,\"protocol\":\"h1\",\"tls\":false,"
              "\"coldStart\":\"3s\",\"coldPerS\":19.0}";
    return text
        + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":"
          "\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

//! Paths and switches that run.sh passes on.
struct Setup
{
    std::string record = "record.txt";
    std::string program;
    std::string folder;
    bool hasTrouble = true;

    static std::optional<Setup> fromArguments(int argc, char **argv)
    {
        const char *trouble = std::getenv("TROUBLE");
        if (argc != 4 || ::access(argv[1], X_OK) != 0)
            return std::nullopt;
        return Setup { argv[3], argv[1], argv[2],
                       trouble == nullptr || std::string(trouble) != "0" };
    }
};

} // namespace review
