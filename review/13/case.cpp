// One of the three seeds loses its disk before the core has elected its first leader.

#include "../harness_3.hpp"

using namespace review3;

namespace {

constexpr Millis RunningTime(200);
constexpr Millis DownTime(1500);
constexpr Millis Recovery(15000);
constexpr Millis OrderTime(45000);

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

    if (hasTrouble()) {
        sleepFor(RunningTime);
        Host &lost = *deployment.byIp(ips[1]);
        Deployment::kill(lost);
        Deployment::eraseDisk(lost);
        record.line(lost.name + ", a seed, loses power and its disk");
        sleepFor(DownTime);
        deployment.start(lost, false);
        record.line(lost.name + " is back with an empty disk");
    }
    const Instant back = Clock::now();
    Operator operators(ips, std::random_device {}());
    const std::string text
        = configuration(1, { { "r-one", "/one/", "avvistamenti" } }, { "avvistamenti" });
    const Reply reply = operators.order("POST", "/Config.Replace", "X-Base-Version: 0\r\n", text,
                                        back + OrderTime);
    const auto taken = std::chrono::duration_cast<Millis>(Clock::now() - back).count();
    record.line("first configuration, sent again and again: " + std::to_string(reply.status)
                + " after " + std::to_string(taken) + " ms");
    for (auto *it : deployment.controls())
        record.line(it->name + (Deployment::isRunning(*it) ? " runs" : " ended"));
    sleepFor(Millis(2000));
    int served = 0;
    constexpr int Requests = 20;
    for (int n = 0; n < Requests; ++n)
        served += request(entries[n % 2]->ip, "GET", "/one/" + std::to_string(n),
                          "after-" + std::to_string(n))
            == 200;
    record.line(std::to_string(served) + " of " + std::to_string(Requests)
                + " requests are served");
    const bool isAcknowledged = reply.status == 200;
    record.line(isAcknowledged ? "HELD: the first configuration is acknowledged"
                               : "BROKEN: the first configuration is never acknowledged");
    return isAcknowledged ? Held : Broken;
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
