#include <ggv/coordination/control/upstream.hpp>

#include <algorithm>

namespace ggv {

namespace {

void appendIfMissing(std::vector<HostName> &hosts, const HostName &host)
{
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
        hosts.push_back(host);
}

// Appends the hosts of the same failure domain that precede a host: voters first, then by name.
void appendRelays(std::vector<HostName> &hosts, const Register &content, const EntryHost &self)
{
    std::vector<const EntryHost *> relays = content.hostsOf(self.domain);
    const auto rank = [&content](const EntryHost *host) {
        return std::pair(!isControlVoter(content, host->name), host->name);
    };
    std::sort(relays.begin(), relays.end(),
              [&rank](const auto *one, const auto *other) { return rank(one) < rank(other); });
    for (const auto *relay : relays) {
        if (relay->name == self.name)
            return;
        hosts.push_back(relay->name);
    }
}

// Appends the voters, starting at a position derived from the host's name to spread the load.
void appendVoters(std::vector<HostName> &hosts, const Register &content, const HostName &self)
{
    const auto &voters = content.content().controlVoters;
    const std::size_t start = std::hash<HostName> {}(self);
    for (std::size_t n = 0; n < voters.size(); ++n)
        appendIfMissing(hosts, voters[(start + n) % voters.size()]);
}

} // namespace

bool isControlVoter(const Register &content, const HostName &host)
{
    const auto &voters = content.content().controlVoters;
    return std::find(voters.begin(), voters.end(), host) != voters.end();
}

std::vector<HostName> upstreamCandidates(const Register &content, const HostName &self,
                                         const HostName &leader)
{
    std::vector<HostName> hosts;
    if (self == leader)
        return hosts;
    if (isControlVoter(content, self)) {
        if (!leader.empty())
            hosts.push_back(leader);
        return hosts;
    }
    if (const auto *host = content.host(self))
        appendRelays(hosts, content, *host);
    appendVoters(hosts, content, self);
    std::erase(hosts, self);
    return hosts;
}

} // namespace ggv
