// Two machines of the core are replaced as planned; then two others lose their disks right after a
// configuration was acknowledged.

#include "../harness_3.hpp"

using namespace review3;

namespace {

constexpr Millis StartTimeout(20000);
constexpr Millis SettlingTime(8000);
constexpr Millis CatchUp(4000);
constexpr Millis Margin(500);
constexpr Millis Grace(6000);
constexpr Millis PauseBeforeChange(1800);
constexpr Millis DownTime(1200);
constexpr Millis Recovery(15000);
constexpr Millis ReadTime(30000);

void recordVoters(Deployment &deployment, Record &record)
{
    for (auto *it : deployment.controls()) {
        if (!Deployment::isRunning(*it))
            continue;
        const double voters = Deployment::metric(*it, "ggv_control_voters");
        record.line(it->name + " runs and counts " + std::to_string(static_cast<int>(voters))
                    + " voters");
    }
}

int play(const std::string &program, Record &record)
{
    Deployment deployment(program);
    Workers workers(deployment.ip(250));
    if (!deployment.valid() || !workers.startList())
        return NotRun;
    const std::vector<std::string> zones { "milano-a",  "padova-a", "torino-a",
                                           "bergamo-b", "verona-b", "novara-b" };
    for (int n = 0; n < 6; ++n) {
        Worker &worker = workers.add("i-" + std::to_string(n), "avvistamenti", zones[n],
                                     deployment.ip(101 + n));
        if (!workers.startWorker(worker))
            return NotRun;
    }
    std::vector<std::string> ips;
    for (int n = 0; n < 6; ++n)
        ips.push_back(deployment.addControl("core-" + zones[n] + "-1", zones[n], 1 + n).ip);
    deployment.setSeeds({ ips[0], ips[1], ips[2] });
    std::vector<Host *> entries { &deployment.addEntry("edge-milano-a-1", "milano-a", 21),
                                  &deployment.addEntry("edge-torino-a-1", "torino-a", 22) };
    for (auto *it : deployment.controls())
        deployment.start(*it, true);
    for (auto *it : entries)
        deployment.start(*it, true);
    record.line("6 core machines and 2 edge machines start for the first time");

    Operator operators(ips, std::random_device {}());
    const std::vector<RouteText> routes { { "r-one", "/one/", "avvistamenti" } };
    const Reply first = operators.order("POST", "/Config.Replace", "X-Base-Version: 0\r\n",
                                        configuration(1, routes, { "avvistamenti" }),
                                        Clock::now() + StartTimeout);
    record.line("version 1: " + std::to_string(first.status));
    if (first.status != 200)
        return NotRun;
    sleepFor(SettlingTime);
    recordVoters(deployment, record);

    // Planned: the new machines come first, then the old ones get SIGTERM.
    const std::vector<Host *> old { deployment.byIp(ips[4]), deployment.byIp(ips[5]) };
    deployment.setSeeds({ ips[0], ips[1], ips[2] });
    for (int n = 0; n < 2; ++n) {
        Host &successor
            = deployment.addControl("core-" + zones[4 + n] + "-2", zones[4 + n], 11 + n);
        deployment.start(successor, false);
        record.line(successor.name + " starts with an empty disk, to replace " + old[n]->name);
    }
    sleepFor(CatchUp + Margin);
    recordVoters(deployment, record);
    for (auto *it : old) {
        Deployment::signal(*it, SIGTERM);
        record.line(it->name + " gets SIGTERM and is removed");
    }
    const Instant terminated = Clock::now();
    for (auto *it : old) {
        while (Deployment::isRunning(*it) && Clock::now() < terminated + Grace)
            sleepFor(Millis(10));
        Deployment::kill(*it);
        record.line(it->name + " has ended");
    }
    sleepFor(PauseBeforeChange);
    operators.setNodes({ ips[0], ips[1], ips[2], ips[3], deployment.ip(11), deployment.ip(12) });
    const std::string text = configuration(2, routes, { "avvistamenti" });
    const Reply second = operators.order("POST", "/Config.Replace", "X-Base-Version: 1\r\n", text,
                                         Clock::now() + StartTimeout);
    record.line("version 2: " + std::to_string(second.status) + " from " + second.ip);
    if (second.status != 200)
        return NotRun;
    if (hasTrouble()) {
        Host *one = deployment.byIp(second.ip);
        Host *other = deployment.byIp(second.ip == ips[0] ? ips[1] : ips[0]);
        for (Host *it : { one, other }) {
            Deployment::kill(*it);
            Deployment::eraseDisk(*it);
            record.line(it->name + " loses its disk");
        }
        sleepFor(DownTime);
        for (Host *it : { one, other }) {
            deployment.start(*it, false);
            record.line(it->name + " is back with an empty disk");
        }
    }
    const Instant back = Clock::now();
    sleepFor(Recovery);
    recordVoters(deployment, record);
    const Reply read = operators.order("GET", "/Config.Read", "", "", back + Recovery + ReadTime);
    record.line("read, up to " + std::to_string((Recovery + ReadTime).count() / 1000)
                + " s after all are back: " + std::to_string(read.status));
    const bool isReadBack = read.status == 200 && read.body == text;
    record.line(isReadBack ? "HELD: version 2 is read back"
                           : "BROKEN: the acknowledged version 2 doesn't come back");
    return isReadBack ? Held : Broken;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return NotRun;
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    return play(argv[1], record);
}
