#include <ggv/coordination/fleet/membership_policy.hpp>

#include <algorithm>
#include <array>

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

bool isLeaving(const HostObservation &observation) { return !observation.host.ready; }

// Fewer voters would not tolerate the configured number of failures.
std::size_t minVoters(std::uint32_t toleratedFailures)
{
    return 2 * std::size_t { toleratedFailures } + 1;
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

bool isSilentFor(const MembershipPolicyInput &input, MemberId member, Duration timeout)
{
    if (contains(input.status.inContact, member) || input.timeAsLeader < LeaderSettlingTime)
        return false;
    const auto *observation = findObservation(input, member);
    const Duration silence = observation == nullptr ? input.timeAsLeader : observation->age;
    return silence > timeout;
}

bool isSilent(const MembershipPolicyInput &input, MemberId member)
{
    return isSilentFor(input, member, MemberSilenceTimeout);
}

// True if the tolerated failures would leave no majority because silent voters count for it, as
// after hosts were killed whose successors had come before. Not in a quorum that would shrink to
// the minimum: there the hosts that are silent are part of the tolerated failures.
bool endangersMajority(const MembershipPolicyInput &input, MemberId member)
{
    const auto &voters = input.status.voters;
    if (voters.size() < minVoters(input.toleratedFailures) + 2)
        return false;
    const auto isSilentVoter
        = [&input](MemberId it) { return isSilentFor(input, it, EndangeringSilenceTimeout); };
    const auto silent = std::count_if(voters.begin(), voters.end(), isSilentVoter);
    const std::size_t lost = static_cast<std::size_t>(silent) + input.toleratedFailures;
    return 2 * lost >= voters.size() && isSilentVoter(member);
}

bool isLeaving(const MembershipPolicyInput &input, MemberId member)
{
    const auto *observation = findObservation(input, member);
    return observation != nullptr && isLeaving(*observation);
}

bool isOtherLeaving(const MembershipPolicyInput &input, MemberId member)
{
    return member != input.status.leader && isLeaving(input, member);
}

//! A reason to remove a member.
struct RemovalRule
{
    bool (*applies)(const MembershipPolicyInput &, MemberId);
    MembershipStepReason reason;
    bool onlyReplacedVoters = false; //!< Else also learners, and a voter only if enough remain.
};

// Comes before all other steps: the host stops soon, and would count as a lost voter.
constexpr RemovalRule LeavingRule { isOtherLeaving, MembershipStepReason::Leaving };

// Come after the admissions. The leader removes itself last, as it carries out all other steps.
constexpr std::array LaterRules {
    RemovalRule { isReplaced, MembershipStepReason::Replaced, true },
    RemovalRule { endangersMajority, MembershipStepReason::Silent },
    RemovalRule { isSilent, MembershipStepReason::Silent },
    RemovalRule { isLeaving, MembershipStepReason::Leaving },
};

std::optional<MembershipStep> findRemoval(const MembershipPolicyInput &input,
                                          const RemovalRule &rule,
                                          const std::vector<MemberId> &members)
{
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](MemberId member) { return rule.applies(input, member); });
    if (it == members.end())
        return std::nullopt;
    return MembershipStep { MembershipStepKind::Remove, *it, addressOf(input, *it), rule.reason };
}

// A learner that is catching up, or never does, delays no removal: a lost voter counts for the
// majority until it is removed.
std::optional<MembershipStep> findRemoval(const MembershipPolicyInput &input,
                                          const RemovalRule &rule)
{
    const auto &voters = input.status.voters;
    const bool hasSurplus = voters.size() > minVoters(input.toleratedFailures);
    if (rule.onlyReplacedVoters)
        return findRemoval(input, rule, voters);
    if (auto step = hasSurplus ? findRemoval(input, rule, voters) : std::nullopt)
        return step;
    return findRemoval(input, rule, input.status.learners);
}

std::optional<MembershipStep> nextAdmissionStep(const MembershipPolicyInput &input)
{
    for (const auto &it : input.hosts) {
        if (it.host.role != HostRole::Control || it.host.member == 0 || !isAlive(it)
            || isLeaving(it))
            continue;
        if (auto step = nextAdmissionStep(input, it.host))
            return step;
    }
    return std::nullopt;
}

} // namespace

std::optional<MembershipStep> nextMembershipStep(const MembershipPolicyInput &input)
{
    if (auto step = findRemoval(input, LeavingRule))
        return step;
    if (auto step = nextAdmissionStep(input))
        return step;
    for (const auto &rule : LaterRules) {
        if (auto step = findRemoval(input, rule))
            return step;
    }
    return std::nullopt;
}

bool awaitsRemoval(const RaftStatus &status, MemberId member, std::uint32_t toleratedFailures)
{
    if (!status.isMember)
        return false;
    const bool isVoter = contains(status.voters, member);
    return !isVoter || status.voters.size() > minVoters(toleratedFailures);
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

std::string_view membershipStepReasonName(MembershipStepReason reason) noexcept
{
    switch (reason) {
    case MembershipStepReason::Reporting:
        return "reporting";
    case MembershipStepReason::Replaced:
        return "replaced";
    case MembershipStepReason::Silent:
        return "silent";
    case MembershipStepReason::Leaving:
        return "leaving";
    }
    return "unlisted";
}

} // namespace ggv
