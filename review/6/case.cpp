// A core machine is removed for good while another one is frozen. When that one wakes, it reports
// the removed machine as alive, and the leader adds it to the quorum again, as a learner that never
// catches up. From then on no lost machine is removed from the quorum, so that later losses, each
// within the limits, leave it without a majority although as many machines run as at the start.

#include "../harness_2.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr double Contact = 3.0;
constexpr double CatchUp = 4.0;
constexpr double AckTimeout = 4.0;
//! Between the loss of a machine and the start of its successor.
constexpr double ReplaceDelay = 1.0;
constexpr double FreezeTime = 4.0;
//! Between the freeze of one machine and the removal of another.
constexpr double FreezeLead = 0.6;

class Case
{
public:
    explicit Case(const Setup &setup)
        : m_record(setup.record)
        , m_hasTrouble(setup.hasTrouble)
        , m_operator(m_record, [this] { return runningHosts(); })
    {
        m_deployment.program = setup.program;
        m_deployment.folder = setup.folder;
        m_deployment.network = freeNetwork();
        for (int n = 1; n <= 3; ++n)
            m_deployment.seeds.push_back(m_deployment.address(n));
        m_list = std::make_unique<List>(m_deployment);
    }

    int run()
    {
        if (m_deployment.network.empty() || !m_list->valid())
            return ExitNotRun;
        for (int n = 1; n <= 6; ++n)
            add(true);
        const std::string first = document(5, { route("r", "/a/", "idempotent", "s") }, { "s" });
        if (m_operator.replace(0, first, 15) != 200)
            return ExitNotRun;
        m_record.line("configuration 5 is acknowledged");
        sleepFor(8);
        replaceMachines();
        sleepFor(2 * CatchUp);
        return judge(first);
    }

private:
    std::vector<std::string> runningHosts()
    {
        std::vector<std::string> hosts;
        for (const auto &it : m_machines) {
            if (it->isRunning())
                hosts.push_back(it->address());
        }
        return hosts;
    }

    void add(bool bootstrap)
    {
        m_machines.push_back(
            std::make_unique<Machine>(m_deployment, true, static_cast<int>(m_machines.size()) + 1));
        auto &machine = *m_machines.back();
        machine.start(bootstrap);
        m_record.line("%s starts at %s", machine.name().c_str(), machine.address().c_str());
    }

    Machine &machine(int number) { return *m_machines[static_cast<std::size_t>(number) - 1]; }

    void remove(int number)
    {
        machine(number).kill();
        m_record.line("%s is removed for good", machine(number).name().c_str());
    }

    // The voter set that the newest leader reports in its metrics.
    void recordVoters()
    {
        for (const auto &it : m_machines) {
            if (!it->isRunning())
                continue;
            const auto reply = call(it->address(), 9464, "GET", "/metrics", {}, "", 1.0);
            if (!reply)
                continue;
            std::istringstream lines(reply->body);
            for (std::string line; std::getline(lines, line);) {
                if (line.find("voters") != std::string::npos && line.front() != '#')
                    m_record.line("%s: %s", it->name().c_str(), line.c_str());
            }
        }
    }

    void replace(const std::vector<int> &lost)
    {
        for (const int number : lost)
            remove(number);
        sleepFor(ReplaceDelay);
        for (std::size_t n = 0; n < lost.size(); ++n)
            add(false);
    }

    // Waits until no machine counts as lost and all are in touch.
    void settle()
    {
        sleepFor(CatchUp + Contact);
        recordVoters();
    }

    void replaceMachines()
    {
        recordVoters();
        if (m_hasTrouble) {
            machine(5).signal(SIGSTOP);
            m_record.line("core-5 freezes");
        }
        sleepFor(FreezeLead);
        replace({ 6 });
        sleepFor(FreezeTime - FreezeLead - ReplaceDelay);
        if (m_hasTrouble) {
            machine(5).signal(SIGCONT);
            m_record.line("core-5 wakes");
        }
        settle();
        replace({ 4, 5 });
        settle();
        replace({ 7, 8 });
        settle();
    }

    int judge(const std::string &first)
    {
        m_record.line("%zu machines run", runningHosts().size());
        const std::string second = document(
            9, { route("r", "/a/", "idempotent", "s"), route("q", "/b/", "idempotent", "s") },
            { "s" });
        const int status = m_operator.replace(5, second, 2 * AckTimeout);
        m_record.line("a valid change: %s", status == 200 ? "acknowledged" : "not acknowledged");
        const auto text = m_operator.read(4 * Contact);
        const bool isWhole = text && (*text == second || (status != 200 && *text == first));
        m_record.line("read back: %s", !text ? "nothing" : (isWhole ? "as acknowledged" : "other"));
        const bool isBroken = status != 200 || !isWhole;
        m_record.line("CONFIG is %s", isBroken ? "broken" : "kept");
        return isBroken ? ExitBroken : ExitHeld;
    }

    Record m_record;
    bool m_hasTrouble;
    Deployment m_deployment;
    std::unique_ptr<List> m_list;
    std::vector<std::unique_ptr<Machine>> m_machines;
    Operator m_operator;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto setup = Setup::fromArguments(argc, argv);
    return setup ? Case(*setup).run() : ExitNotRun;
}
