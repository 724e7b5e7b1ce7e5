#include <ggv/state/model/register.hpp>

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace ggv {

namespace {

//! Voters that may be added or removed in one change.
constexpr std::size_t MaximumVoterChanges = 1;

std::vector<HostName> sorted(std::vector<HostName> names)
{
    std::sort(names.begin(), names.end());
    return names;
}

std::size_t countChanges(const std::vector<HostName> &current, const std::vector<HostName> &next)
{
    const auto before = sorted(current);
    const auto after = sorted(next);
    std::vector<HostName> changed;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                  std::back_inserter(changed));
    return changed.size();
}

[[noreturn]] void throwViolation(const std::string &rule)
{
    throw Error(ResultCode::RegisterInvalid, rule);
}

// The initial voters of a quorum may be added in a single change.
void checkVoters(const std::string &quorum, const std::vector<HostName> &current,
                 const std::vector<HostName> &next)
{
    if (current.empty())
        return;
    if (next.empty())
        throwViolation("the " + quorum + " cannot lose its last voter");
    if (countChanges(current, next) > MaximumVoterChanges)
        throwViolation("only one voter of the " + quorum + " may be added or removed at a time");
}

template <typename Entity>
auto byName(const SharedVector<Entity> &entities)
{
    std::unordered_map<std::string_view, const Entity *> index;
    for (const auto &it : entities)
        index.emplace(it.name.text(), &it);
    return index;
}

void checkClaimGroups(const Register &current, const RegisterContent &next)
{
    if (current.content().claimGroups.sharesWith(next.claimGroups))
        return;
    const auto groups = byName(next.claimGroups);
    for (const auto &it : current.content().claimGroups) {
        const auto found = groups.find(it.name.text());
        if (found != groups.end())
            checkVoters("claim group " + it.name.text(), it.voters, found->second->voters);
    }
}

void checkServices(const Register &current, const RegisterContent &next)
{
    if (current.content().services.sharesWith(next.services))
        return;
    const auto services = byName(next.services);
    for (const auto &it : current.content().services) {
        const auto found = services.find(it.name.text());
        if (found == services.end() || !it.claimGroup)
            continue;
        if (found->second->claimGroup != it.claimGroup)
            throwViolation("service " + it.name.text() + " must keep its claim group");
    }
}

void checkIncarnations(const Register &current, const RegisterContent &next)
{
    if (current.content().hosts.sharesWith(next.hosts))
        return;
    const auto hosts = byName(next.hosts);
    for (const auto &it : current.content().hosts) {
        const auto found = hosts.find(it.name.text());
        if (found != hosts.end() && found->second->incarnation < it.incarnation)
            throwViolation("the incarnation of entry host " + it.name.text() + " must not fall");
    }
}

} // namespace

void checkTransition(const Register &current, const RegisterContent &next)
{
    checkVoters("control quorum", current.content().controlVoters, next.controlVoters);
    checkClaimGroups(current, next);
    checkServices(current, next);
    checkIncarnations(current, next);
}

} // namespace ggv
