#pragma once

#include <ggv/state/model/register.hpp>

#include <string>

namespace ggv::test {

//! Returns host `number` of a failure domain; host 0 of each domain has a disk.
inline EntryHost sampleHost(const std::string &domain, unsigned number)
{
    EntryHost host;
    host.name = HostName(domain + "-h" + std::to_string(number));
    host.domain = FailureDomainName(domain);
    host.hasDisk = number == 0;
    const auto address = "10." + std::to_string(static_cast<unsigned char>(domain.front())) + '.'
        + std::to_string(static_cast<unsigned char>(domain.back())) + '.' + std::to_string(number);
    host.callers = { address, 8080 };
    host.operators = { address, 8081 };
    host.internal = { address, 8082 };
    return host;
}

//! Returns two regions with two failure domains each, two hosts per domain, and at least one entity
//! of every other kind.
inline RegisterContent sampleContent()
{
    RegisterContent content;
    content.regions = { { RegionName("south") }, { RegionName("north") } };
    for (const std::string region : { "north", "south" }) {
        for (const std::string half : { "-a", "-b" }) {
            const auto domain = region + half;
            content.domains.push_back({ FailureDomainName(domain), RegionName(region) });
            content.hosts.push_back(sampleHost(domain, 0));
            content.hosts.push_back(sampleHost(domain, 1));
        }
    }
    content.controlVoters
        = { HostName("south-a-h0"), HostName("north-a-h0"), HostName("north-b-h0") };
    content.claimGroups = { { ClaimGroupName("orders"), { HostName("north-a-h0") } } };
    Service service;
    service.name = ServiceName("kits");
    service.claimGroup = ClaimGroupName("orders");
    service.nonIdempotent = { { "POST", "/orders" } };
    service.defaultDeadline = Duration(2'500'500);
    service.probePath = "/load";
    content.services = { service };
    Target target;
    target.name = TargetName("kit-1");
    target.service = service.name;
    target.domain = FailureDomainName("north-a");
    target.endpoint = { "fd00::1", 9000 };
    target.slots = 7;
    target.connections = 330;
    content.targets = { target };
    content.links = { { RegionName("south"), RegionName("north"), 280, Duration(12'000) } };
    content.clientBlocks = { { "10.1.0.0/16", FailureDomainName("north-a") },
                             { "fd00:1::/32", FailureDomainName("south-b") } };
    content.shiftCaps = { { service.name, RegionName("north"), RegionName("south"), 40 } };
    content.drains = { { DrainScope::Region, "south", 1'790'000'000'000, 1'790'000'600'250 } };
    content.platformListUrl = "http://127.0.0.1:9999/hosts";
    return content;
}

} // namespace ggv::test
