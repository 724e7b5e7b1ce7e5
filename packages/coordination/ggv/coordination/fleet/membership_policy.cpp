#include <ggv/coordination/fleet/membership_policy.hpp>

#include <ggv/coordination/fleet/fleet_directory.hpp>

#include <algorithm>

namespace ggv {

namespace {

bool contains(const std::vector<MemberId> &members, MemberId member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool isAlive(const HostSighting &sighting)
{
    return sighting.age < FleetDirectory::LivenessTimeout;
}

std::optional<MembershipStep> stepToTakeIn(const MembershipPolicyInput &view,
                                           const HostAnnouncement &host)
{
    const RegisterMember wanted { host.member, host.internal };
    const auto &known = view.registered;
    if (std::find(known.begin(), known.end(), wanted) == known.end())
        return MembershipStep { MembershipStepKind::Register, host.member, host.internal };
    if (contains(view.status.voters, host.member) || contains(view.status.learners, host.member))
        return std::nullopt;
    return MembershipStep { MembershipStepKind::Add, host.member, host.internal };
}

const HostSighting *sightingOf(const MembershipPolicyInput &view, MemberId member)
{
    const auto it
        = std::find_if(view.hosts.begin(), view.hosts.end(),
                       [member](const HostSighting &host) { return host.host.member == member; });
    return it == view.hosts.end() ? nullptr : &*it;
}

Endpoint addressOf(const MembershipPolicyInput &view, MemberId member)
{
    for (const auto &it : view.registered) {
        if (it.member == member)
            return it.internal;
    }
    return {};
}

// True if the address of a member answers under another identity that is a voter already.
bool isReplaced(const MembershipPolicyInput &view, MemberId member)
{
    const Endpoint address = addressOf(view, member);
    return std::any_of(view.hosts.begin(), view.hosts.end(), [&](const HostSighting &it) {
        return isAlive(it) && it.host.member != member && it.host.internal == address
            && contains(view.status.voters, it.host.member);
    });
}

bool isSilent(const MembershipPolicyInput &view, MemberId member)
{
    const auto *seen = sightingOf(view, member);
    const Duration silence = seen == nullptr ? view.timeAsLeader : seen->age;
    return std::min(silence, view.timeAsLeader) > MemberSilenceTimeout;
}

} // namespace

std::optional<MembershipStep> nextMembershipStep(const MembershipPolicyInput &view)
{
    for (const auto &it : view.hosts) {
        if (it.host.role != HostRole::Control || it.host.member == 0 || !isAlive(it))
            continue;
        if (auto step = stepToTakeIn(view, it.host))
            return step;
    }
    // While a member is being caught up, the others stay.
    if (!view.status.learners.empty())
        return std::nullopt;
    const std::size_t needed = 2 * view.toleratedFailures + 1;
    for (const MemberId member : view.status.voters) {
        const bool surplus = view.status.voters.size() > needed;
        if (isReplaced(view, member) || (surplus && isSilent(view, member)))
            return MembershipStep { MembershipStepKind::Remove, member, addressOf(view, member) };
    }
    return std::nullopt;
}

std::string_view membershipStepName(MembershipStepKind kind) noexcept
{
    switch (kind) {
    case MembershipStepKind::Register:
        return "register";
    case MembershipStepKind::Add:
        return "add";
    case MembershipStepKind::Remove:
        return "remove";
    }
    return "unlisted";
}

} // namespace ggv
