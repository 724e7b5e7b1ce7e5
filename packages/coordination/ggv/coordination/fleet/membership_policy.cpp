#include <ggv/coordination/fleet/membership_policy.hpp>

#include <ggv/coordination/fleet/fleet_directory.hpp>

#include <algorithm>

namespace ggv {

namespace {

bool contains(const std::vector<MemberId> &members, MemberId member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool isAlive(const HostObservation &observation)
{
    return observation.age < FleetDirectory::LivenessTimeout;
}

std::optional<MembershipStep> nextAdmissionStep(const MembershipPolicyInput &input,
                                                const HostAnnouncement &host)
{
    const RegisterMember registration { host.member, host.internal };
    const auto &known = input.registered;
    if (std::find(known.begin(), known.end(), registration) == known.end())
        return MembershipStep { MembershipStepKind::Register, host.member, host.internal };
    if (contains(input.status.voters, host.member) || contains(input.status.learners, host.member))
        return std::nullopt;
    return MembershipStep { MembershipStepKind::Add, host.member, host.internal };
}

const HostObservation *findObservation(const MembershipPolicyInput &input, MemberId member)
{
    const auto it = std::find_if(
        input.hosts.begin(), input.hosts.end(),
        [member](const HostObservation &host) { return host.host.member == member; });
    return it == input.hosts.end() ? nullptr : &*it;
}

Endpoint addressOf(const MembershipPolicyInput &input, MemberId member)
{
    for (const auto &it : input.registered) {
        if (it.member == member)
            return it.internal;
    }
    return {};
}

// True if the member's address reports under another member id that is already a voter.
bool isReplaced(const MembershipPolicyInput &input, MemberId member)
{
    const Endpoint address = addressOf(input, member);
    return std::any_of(input.hosts.begin(), input.hosts.end(), [&](const HostObservation &it) {
        return isAlive(it) && it.host.member != member && it.host.internal == address
            && contains(input.status.voters, it.host.member);
    });
}

bool isSilent(const MembershipPolicyInput &input, MemberId member)
{
    if (contains(input.status.inContact, member) || input.timeAsLeader < LeaderSettlingTime)
        return false;
    const auto *observation = findObservation(input, member);
    const Duration silence = observation == nullptr ? input.timeAsLeader : observation->age;
    return silence > MemberSilenceTimeout;
}

// A learner that is catching up, or never does, delays no removal: a lost voter counts for the
// majority until it is removed.
std::optional<MemberId> findRemovableVoter(const MembershipPolicyInput &input)
{
    const auto &voters = input.status.voters;
    const bool surplus = voters.size() > 2 * std::size_t { input.toleratedFailures } + 1;
    const auto it = std::find_if(voters.begin(), voters.end(), [&](MemberId member) {
        return isReplaced(input, member) || (surplus && isSilent(input, member));
    });
    return it == voters.end() ? std::nullopt : std::optional(*it);
}

std::optional<MemberId> findSilentLearner(const MembershipPolicyInput &input)
{
    const auto &learners = input.status.learners;
    const auto it = std::find_if(learners.begin(), learners.end(),
                                 [&](MemberId member) { return isSilent(input, member); });
    return it == learners.end() ? std::nullopt : std::optional(*it);
}

MembershipStep removalOf(const MembershipPolicyInput &input, MemberId member)
{
    return { MembershipStepKind::Remove, member, addressOf(input, member) };
}

} // namespace

std::optional<MembershipStep> nextMembershipStep(const MembershipPolicyInput &input)
{
    for (const auto &it : input.hosts) {
        if (it.host.role != HostRole::Control || it.host.member == 0 || !isAlive(it))
            continue;
        if (auto step = nextAdmissionStep(input, it.host))
            return step;
    }
    if (const auto member = findRemovableVoter(input))
        return removalOf(input, *member);
    if (const auto member = findSilentLearner(input))
        return removalOf(input, *member);
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
