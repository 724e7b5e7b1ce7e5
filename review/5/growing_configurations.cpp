//! Stand-in for the platform and the operator: starts six control hosts as separate processes,
//! sends them a series of configurations, and ends a process that uses more memory than its limit,
//! as the platform does. Writes what was sent, answered and ended to the record.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int ControlHosts = 6;
constexpr int ControlPort = 8166;
constexpr int DirectoryPort = 8168;
constexpr int ListPort = 8169;
constexpr long MemoryLimitKb = 256 * 1024; //!< `memoryMb` of the settings.
constexpr int RoutesPerStep = 350; //!< `count` of big_config in the site file.
constexpr int GrowthSteps = 12;
constexpr int SmallConfigurationRoutes = 20;
constexpr int MaxChanges = 900; //!< "A day may be long and may contain hundreds of changes."
constexpr auto RunTime = std::chrono::seconds(108);
constexpr auto StartTimeout = std::chrono::seconds(10);
constexpr auto RestartDelay = milliseconds(300);
constexpr int EndsThatBreakTheRule = 3; //!< For each process.
constexpr int HostsThatBreakTheRule = ControlHosts / 2;

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    { }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto time = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
        m_file << time << " ms  " << line << std::endl;
    }

private:
    std::ofstream m_file;
    std::mutex m_mutex;
    Clock::time_point m_start = Clock::now();
};

struct Answer
{
    int status = 0; //!< 0 without a complete response.
    std::string location;
};

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int socket, const std::string &text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const auto n = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Sends a request and reads the head of the response.
Answer call(const std::string &ip, int port, const std::string &request)
{
    Answer answer;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { 3, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const auto address = socketAddress(ip, port);
    std::string head;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(socket, request)) {
        std::array<char, 4096> buf;
        ssize_t n = 0;
        while (head.find("\r\n\r\n") == std::string::npos
               && (n = ::recv(socket, buf.data(), buf.size(), 0)) > 0)
            head.append(buf.data(), static_cast<std::size_t>(n));
    }
    ::close(socket);
    if (head.starts_with("HTTP/1.1 ") && head.find("\r\n\r\n") != std::string::npos)
        answer.status = std::atoi(head.c_str() + 9);
    if (const auto at = head.find("Location: http://"); at != std::string::npos)
        answer.location = head.substr(at + 17, head.find(':', at + 17) - at - 17);
    return answer;
}

// Answers every request for the platform's list with one worker for each service.
void serveList(int listener)
{
    const std::string body
        = R"({"instances":{"columns":["service","addr","zone","version","slots","state",)"
          R"("coldRemaining","id"],"rows":[["catalogue","127.0.0.1:9","zone-1","v1",5,"ready",)"
          R"("0ms","i-1"]]},"nextToken":null})";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Connection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        std::array<char, 4096> buf;
        if (::recv(socket, buf.data(), buf.size(), 0) > 0)
            sendAll(socket, response);
        ::close(socket);
    }
}

std::string configuration(int version, int routes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":{)";
    for (int n = 0; n < routes; ++n) {
        const std::string number = std::to_string(100'000 + n);
        // One route changes with each version.
        const std::string timeout = std::to_string(n == 0 ? 2000 + version % 500 : 2500);
        text += (n == 0 ? "" : ",") + std::string(R"("r-)") + number
            + R"(":{"host":"shop.example","pathPrefix":"/p)" + number
            + R"(/","kind":"idempotent","timeout":")" + timeout
            + R"(ms","targetLatency":"400ms","priority":2,"service":"catalogue",)"
              R"("maxAttempts":2,"sticky":true,"homeRegions":[]})";
    }
    return text
        + R"(},"services":{"catalogue":{"healthPath":"/health","maxConns":330,"protocol":"h1",)"
          R"("tls":false,"coldStart":"3s","coldPerS":7.5}},"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

//! A control host that the platform runs.
struct Host
{
    std::string name;
    std::string ip;
    std::string folder;
    pid_t pid = 0;
    bool started = false;
    int ends = 0; //!< How often it was ended for its memory.
    long largestKb = 0;
    Clock::time_point endedAt;
};

class Platform
{
public:
    Platform(std::string program, std::string folder, std::string network, Record &record)
        : m_program(std::move(program))
        , m_network(std::move(network))
        , m_record(record)
    {
        for (int n = 1; n <= ControlHosts; ++n) {
            Host host;
            host.name = "core-" + std::to_string(n);
            host.ip = m_network + std::to_string(n);
            host.folder = folder + "/" + host.name;
            std::filesystem::create_directories(host.folder + "/data");
            m_hosts.push_back(host);
        }
    }

    ~Platform()
    {
        for (auto &it : m_hosts)
            end(it);
    }
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    void startAll()
    {
        for (auto &it : m_hosts)
            start(it);
    }

    // Ends hosts over their limit, and starts hosts that have ended again.
    void supervise()
    {
        for (auto &it : m_hosts) {
            if (it.pid != 0 && ::waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
                m_record.write(it.name + " ended by itself");
                onEnded(it);
            }
            if (it.pid == 0) {
                if (Clock::now() - it.endedAt >= RestartDelay)
                    start(it);
                continue;
            }
            const long used = residentKb(it.pid);
            it.largestKb = std::max(it.largestKb, used);
            if (used <= MemoryLimitKb)
                continue;
            m_record.write(it.name + " uses " + std::to_string(used / 1024)
                           + " MB, over its limit: killed");
            end(it);
            onEnded(it);
        }
    }

    const std::vector<Host> &hosts() const { return m_hosts; }

    int brokenHosts() const
    {
        int count = 0;
        for (const auto &it : m_hosts)
            count += it.ends >= EndsThatBreakTheRule ? 1 : 0;
        return count;
    }

private:
    static long residentKb(pid_t pid)
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }

    static void onEnded(Host &host)
    {
        host.pid = 0;
        ++host.ends;
        host.endedAt = Clock::now();
    }

    static void end(Host &host)
    {
        if (host.pid == 0)
            return;
        ::kill(host.pid, SIGKILL);
        ::waitpid(host.pid, nullptr, 0);
        host.pid = 0;
    }

    std::string writeSettings(const Host &host) const
    {
        const std::string path = host.folder + "/node.toml";
        std::ofstream out(path);
        const auto zone = host.name.substr(host.name.size() - 1);
        out << "nodeName = \"" << host.name << "\"\nrole = \"control\"\nmachineClass = \"core\"\n"
            << "serves = [\"control_plane\",\"directory\"]\nip = \"" << host.ip
            << "\"\nzone = \"zone-" << zone << "\"\nregion = \"region-" << zone
            << "\"\ninternalPorts = [7720,7735]\nseeds = [\"" << m_network << "1:8166\",\""
            << m_network << "2:8166\",\"" << m_network
            << "3:8166\"]\nbootstrap = " << (host.started ? "false" : "true")
            << "\nlossCounts = true\ndataDir = \"" << host.folder << "/data\"\n"
            << "bounds = [\"grace=6s\",\"ttl_max=5s\",\"retryBudgetRatio=0.2\","
               "\"budgetWindow=10s\",\"budgetSlack=56\"]\n[zones]\n";
        for (int n = 1; n <= ControlHosts; ++n)
            out << "zone-" << n << " = \"region-" << n << "\"\n";
        out << "[listen]\ncontrol = \"" << host.ip << ":" << ControlPort << "\"\ndirectory = \""
            << host.ip << ":" << DirectoryPort
            << "\"\n[limits]\nmemoryMb = " << MemoryLimitKb / 1024
            << "\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 1\n[cloud]\naddr = \""
            << m_network << "100:" << ListPort << "\"\n";
        return path;
    }

    void start(Host &host)
    {
        const std::string settings = "GREENGAGEVALVE_CONFIG=" + writeSettings(host);
        const std::string log = host.folder + "/log";
        const bool again = host.started;
        host.started = true;
        const pid_t parent = ::getpid();
        host.pid = ::fork();
        if (host.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            const char *arguments[] = { m_program.c_str(), "--platform", nullptr };
            const char *environment[] = { "PATH=/usr/bin:/bin", settings.c_str(), nullptr };
            ::execve(m_program.c_str(), const_cast<char **>(arguments),
                     const_cast<char **>(environment));
            ::_exit(127);
        }
        m_record.write(host.name + (again ? " started again" : " started"));
    }

    std::string m_program;
    std::string m_network;
    Record &m_record;
    std::vector<Host> m_hosts;
};

//! Sends one configuration after the other, each once the one before is acknowledged.
class Operator
{
public:
    Operator(std::string network, bool grows, Record &record)
        : m_network(std::move(network))
        , m_grows(grows)
        , m_record(record)
    { }

    // Returns false if the run was stopped before the acknowledgement.
    bool sendNext(const std::atomic<bool> &stopped)
    {
        const int version = m_version + 1;
        const int growth = m_grows ? std::min(version, GrowthSteps) * RoutesPerStep : 0;
        const std::string text = configuration(version, SmallConfigurationRoutes + growth);
        m_record.write("send version " + std::to_string(version) + ", "
                       + std::to_string(text.size()) + " bytes");
        while (!stopped) {
            const Answer answer = sendOnce(text);
            if (answer.status == 200) {
                m_record.write("version " + std::to_string(version) + " acknowledged by "
                               + m_leader);
                m_version = version;
                return true;
            }
            m_record.write("version " + std::to_string(version) + ": status "
                           + std::to_string(answer.status) + " from " + m_leader);
            m_leader = m_network + std::to_string(1 + ++m_tries % ControlHosts);
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

    int version() const { return m_version; }

private:
    Answer sendOnce(const std::string &text)
    {
        const std::string request
            = "POST /Config.Replace HTTP/1.1\r\nHost: control\r\nX-Base-Version: "
            + std::to_string(m_version)
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(text.size()) + "\r\n\r\n" + text;
        Answer answer = call(m_leader, ControlPort, request);
        for (int redirects = 0; answer.status == 307 && redirects < 2; ++redirects) {
            m_leader = answer.location;
            answer = call(m_leader, ControlPort, request);
        }
        return answer;
    }

    std::string m_network;
    bool m_grows;
    Record &m_record;
    int m_version = 0;
    unsigned m_tries = 0;
    std::string m_leader = m_network + "1";
};

int run(const std::string &program, const std::string &folder, const std::string &recordPath,
        bool grows)
{
    Record record(recordPath);
    const std::string network = "127." + std::to_string(30 + ::getpid() % 200) + "."
        + std::to_string(1 + ::getpid() / 200 % 250) + ".";
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(network + "100", ListPort);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 64) != 0) {
        record.write("cannot listen for the platform's list");
        return CouldNotRun;
    }
    std::thread(serveList, listener).detach();

    Platform platform(program, folder, network, record);
    platform.startAll();
    std::atomic<bool> stopped { false };
    Operator changes(network, grows, record);
    std::thread sender([&] {
        while (!stopped && changes.version() < MaxChanges && changes.sendNext(stopped)) { }
    });
    const auto start = Clock::now();
    bool started = false;
    while (Clock::now() - start < RunTime && platform.brokenHosts() < HostsThatBreakTheRule) {
        platform.supervise();
        started = started || changes.version() > 0;
        if (!started && Clock::now() - start > StartTimeout)
            break;
        if (changes.version() >= MaxChanges)
            break;
        std::this_thread::sleep_for(milliseconds(20));
    }
    stopped = true;
    sender.join();

    for (const auto &it : platform.hosts())
        record.write(it.name + ": ended " + std::to_string(it.ends) + " times for its memory, most "
                     + std::to_string(it.largestKb / 1024) + " MB");
    record.write(std::to_string(changes.version()) + " changes acknowledged");
    if (!started) {
        record.write("could not run: no configuration was acknowledged");
        return CouldNotRun;
    }
    const bool broken = platform.brokenHosts() >= HostsThatBreakTheRule;
    record.write(broken ? "BROKEN: Fault" : "held");
    return broken ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: " << argv[0] << " PROGRAM FOLDER RECORD 0|1\n";
        return CouldNotRun;
    }
    return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
