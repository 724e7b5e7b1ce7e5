#pragma once

#include <ggv/state/model/register.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace ggv::bench {

//! Number of entities of each kind in a register.
struct RegisterSize
{
    unsigned regions;
    unsigned domains;
    unsigned hosts;
    unsigned services;
    unsigned targetsPerService;
    unsigned blocks;
};

//! 1%, 10% and 100% of the target size.
inline constexpr std::array RegisterSizes = {
    RegisterSize { 3, 6, 54, 13, 4, 1'100 },
    RegisterSize { 6, 18, 540, 130, 4, 11'000 },
    RegisterSize { 14, 48, 5'400, 1'300, 4, 110'000 },
};

inline std::string numberedName(const char *name, unsigned number)
{
    return name + std::to_string(number);
}

inline FailureDomainName domainName(unsigned number)
{
    return FailureDomainName(numberedName("failure-domain-", number));
}

//! Consecutive blocks of 512 addresses from 10.0.0.0; every third contains a nested /24 block.
inline ClientBlock numberedBlock(unsigned number, unsigned domains)
{
    const unsigned start = (10U << 24U) + (number / 4 * 3 + number % 4 % 3) * 512U;
    const auto octet = [start](unsigned shift) { return std::to_string(start >> shift & 255U); };
    const auto *length = number % 4 == 3 ? "/24" : "/23";
    const auto prefix = octet(24) + '.' + octet(16) + '.' + octet(8) + '.' + octet(0) + length;
    return { prefix, domainName(number * 7 % domains) };
}

inline EntryHost numberedHost(unsigned number, unsigned domains)
{
    EntryHost host;
    host.name = HostName(numberedName("entry-host-", number));
    host.domain = domainName(number % domains);
    const auto address
        = "192.168." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1);
    host.callers = { address, 8080 };
    host.operators = { address, 8081 };
    host.internal = { address, 8082 };
    host.hasDisk = number < 21;
    return host;
}

inline Target numberedTarget(unsigned number, const Service &service, unsigned domains)
{
    Target target;
    target.name = TargetName(numberedName("target-", number));
    target.service = service.name;
    target.domain = domainName(number % domains);
    target.endpoint
        = { "172.16." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1),
            9000 };
    target.slots = 7;
    target.connections = 330;
    return target;
}

inline void addLinks(RegisterContent &content)
{
    for (std::size_t i = 0; i < content.regions.size(); ++i) {
        for (std::size_t j = i + 1; j < content.regions.size(); ++j)
            content.links.push_back({ content.regions[i].name, content.regions[j].name, 4000,
                                      std::chrono::milliseconds(10 + 7 * (i + j)) });
    }
}

//! Generates deterministic register content of the given size.
inline RegisterContent sizedContent(const RegisterSize &size)
{
    RegisterContent content;
    for (unsigned i = 0; i < size.regions; ++i)
        content.regions.push_back({ RegionName(numberedName("region-", i)) });
    for (unsigned i = 0; i < size.domains; ++i)
        content.domains.push_back({ domainName(i), content.regions[i % size.regions].name });
    for (unsigned i = 0; i < size.hosts; ++i)
        content.hosts.push_back(numberedHost(i, size.domains));
    for (unsigned i = 0; i < 5; ++i)
        content.controlVoters.push_back(content.hosts[i].name);
    for (unsigned i = 0; i < size.services; ++i) {
        Service service;
        service.name = ServiceName(numberedName("service-", i));
        content.services.push_back(service);
        for (unsigned n = 0; n < size.targetsPerService; ++n)
            content.targets.push_back(
                numberedTarget(i * size.targetsPerService + n, service, size.domains));
    }
    addLinks(content);
    for (unsigned i = 0; i < size.blocks; ++i)
        content.clientBlocks.push_back(numberedBlock(i, size.domains));
    return content;
}

//! Creates a register of the size selected by the first benchmark argument.
inline Register sizedRegister(const benchmark::State &state, RegisterVersion version = 1)
{
    const auto &size = RegisterSizes.at(static_cast<std::size_t>(state.range(0)));
    return Register::create(version, sizedContent(size)).value();
}

//! Returns the number of heap bytes in use.
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace ggv::bench
