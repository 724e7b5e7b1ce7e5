// The workers of a service are restarted one after the other and keep their ids and addresses.

#include "../harness_3.hpp"

using namespace review3;

namespace {

constexpr Millis StartTimeout(20000);
constexpr Millis ServesWhileDraining(4000);
constexpr Millis DownTime(1500);
constexpr Millis PauseBetween(1500);
constexpr Millis SettlingTime(8000);
constexpr int Requests = 60;

int requestsServed(const std::vector<Host *> &entries, const std::string &prefix,
                   const std::string &name, Record &record)
{
    std::map<int, int> statuses;
    for (int n = 0; n < Requests; ++n) {
        const std::string id = name + "-" + std::to_string(n);
        ++statuses[request(entries[n % entries.size()]->ip, "GET", prefix + std::to_string(n), id)];
        sleepFor(Millis(30));
    }
    std::string text = prefix + ": " + std::to_string(Requests) + " requests;";
    for (const auto &[status, count] : statuses)
        text += " " + std::to_string(count) + " x " + std::to_string(status);
    record.line(text);
    return statuses[200];
}

int play(const std::string &program, Record &record)
{
    Deployment deployment(program);
    Workers workers(deployment.ip(250));
    if (!deployment.valid() || !workers.startList())
        return NotRun;
    const std::vector<std::string> zones { "milano-a",  "padova-a", "torino-a",
                                           "bergamo-b", "verona-b", "novara-b" };
    std::vector<Worker *> later;
    for (int n = 0; n < 6; ++n) {
        const bool isLater = n >= 3;
        Worker &worker
            = workers.add("i-" + std::to_string(n), isLater ? "microchip" : "avvistamenti",
                          zones[n % 3], deployment.ip(101 + n));
        if (!workers.startWorker(worker))
            return NotRun;
        if (isLater)
            later.push_back(&worker);
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
    Operator operators(ips, std::random_device {}());
    const std::vector<std::string> services { "avvistamenti", "microchip" };
    const std::string first = configuration(1, { { "r-one", "/one/", "avvistamenti" } }, services);
    const Reply accepted = operators.order("POST", "/Config.Replace", "X-Base-Version: 0\r\n",
                                           first, Clock::now() + StartTimeout);
    record.line("version 1, with a route to avvistamenti: " + std::to_string(accepted.status));
    if (accepted.status != 200)
        return NotRun;
    sleepFor(SettlingTime);
    for (Worker *it : later) {
        if (!hasTrouble())
            break;
        record.line(it->id + " of microchip is listed as draining");
        workers.setState(*it, "draining");
        sleepFor(ServesWhileDraining);
        it->server.stop();
        workers.setState(*it, "");
        record.line(it->id + " has ended and is not listed");
        sleepFor(DownTime);
        if (!workers.startWorker(*it))
            return NotRun;
        workers.setState(*it, "ready");
        record.line(it->id + " has started again under its id and address, listed as ready");
        sleepFor(PauseBetween);
    }
    const std::string second = configuration(
        2, { { "r-one", "/one/", "avvistamenti" }, { "r-two", "/two/", "microchip" } }, services);
    const Reply added = operators.order("POST", "/Config.Replace", "X-Base-Version: 1\r\n", second,
                                        Clock::now() + StartTimeout);
    record.line("version 2, with a route to microchip added: " + std::to_string(added.status));
    if (added.status != 200)
        return NotRun;
    sleepFor(SettlingTime);
    const int servedFirst = requestsServed(entries, "/one/", "first", record);
    const int servedLater = requestsServed(entries, "/two/", "later", record);
    sleepFor(SettlingTime);
    const int servedAgain = requestsServed(entries, "/two/", "again", record);
    if (servedFirst < Requests / 2)
        return NotRun;
    const bool isBroken = servedLater * 4 < servedFirst && servedAgain * 4 < servedFirst;
    record.line(isBroken ? "BROKEN: the added route is served less than a quarter as often"
                         : "HELD: the added route is served");
    return isBroken ? Broken : Held;
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
