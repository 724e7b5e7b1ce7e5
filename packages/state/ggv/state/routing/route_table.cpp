#include <ggv/state/routing/route_table.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace ggv {

namespace {

std::optional<std::string> findServiceError(const Route &route, const RouteRules &rules)
{
    double sum = 0.0;
    for (const auto &[service, weight] : route.services) {
        if (!rules.services.contains(service))
            return "unknown service " + service.text();
        if (!(weight >= 0.0))
            return "negative weight of service " + service.text();
        sum += weight;
    }
    if (!(sum > 0.0))
        return "no service with a weight above 0";
    return std::nullopt;
}

std::optional<std::string> findRouteError(const Route &route, const RouteRules &rules)
{
    if (route.hostName.empty())
        return "empty host name";
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        return "path prefix does not begin and end with a slash";
    if (route.timeout <= Duration(0) || route.timeout > MaxRouteTimeout)
        return "time-out is not between 0 and 10 minutes";
    if (route.maxAttempts == 0)
        return "no attempt is allowed";
    return findServiceError(route, rules);
}

std::string_view withoutPort(std::string_view hostName) noexcept
{
    return hostName.substr(0, hostName.find(':'));
}

std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char it) {
        return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    });
    return lower;
}

} // namespace

Result<RouteTable> RouteTable::create(RouteRules rules)
{
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto &it : rules.routes) {
        if (const auto message = findRouteError(it, rules))
            return Error(ResultCode::RegisterInvalid, "route " + it.name + ": " + *message);
        if (!hostsAndPrefixes.emplace(toLowerCase(it.hostName), it.pathPrefix).second)
            return Error(ResultCode::RegisterInvalid,
                         "route " + it.name + ": another route has the same host and prefix");
    }
    return RouteTable(std::move(rules));
}

RouteTable::RouteTable(RouteRules rules)
    : m_rules(std::move(rules))
{
    for (std::size_t n = 0; n < m_rules.routes.size(); ++n)
        m_byHost[toLowerCase(m_rules.routes[n].hostName)].push_back(n);
    for (auto &[host, indices] : m_byHost) {
        std::sort(indices.begin(), indices.end(), [this](std::size_t one, std::size_t other) {
            return m_rules.routes[one].pathPrefix.size() > m_rules.routes[other].pathPrefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view hostName, std::string_view path) const noexcept
{
    const auto it = m_byHost.find(toLowerCase(withoutPort(hostName)));
    if (it == m_byHost.end())
        return nullptr;
    for (const std::size_t index : it->second) {
        if (path.starts_with(m_rules.routes[index].pathPrefix))
            return &m_rules.routes[index];
    }
    return nullptr;
}

const ServiceName &chooseService(const Route &route, double fraction) noexcept
{
    double sum = 0.0;
    for (const auto &it : route.services)
        sum += it.weight;
    double remaining = fraction * sum;
    for (const auto &it : route.services) {
        if (remaining < it.weight)
            return it.service;
        remaining -= it.weight;
    }
    return route.services.back().service;
}

} // namespace ggv
