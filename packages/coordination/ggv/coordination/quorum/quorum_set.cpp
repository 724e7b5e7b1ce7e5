#include <ggv/coordination/quorum/quorum_set.hpp>

#include <ggv/coordination/node/host_identity.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>

namespace ggv {

namespace {

std::string filePrefixOf(const std::string &group)
{
    return group == ControlGroup ? "control-" : "claims-" + group + "-";
}

bool contains(const std::vector<MemberId> &members, MemberId member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

} // namespace

QuorumSet::QuorumSet(boost::asio::io_context &context, Disk *disk, HostName self,
                     std::uint64_t incarnation, SendHandler onSend)
    : m_context(context)
    , m_disk(disk)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_selfId(disk == nullptr ? 0 : memberIdOf(m_self, incarnation))
    , m_onSend(std::move(onSend))
{
    if (m_disk != nullptr)
        updateMember(m_self, m_selfId);
}

QuorumSet::~QuorumSet() = default;

void QuorumSet::join(const std::string &group, const std::vector<HostName> &voters,
                     std::unique_ptr<StateMachine> machine)
{
    if (m_disk == nullptr || m_members.contains(group))
        return;
    QuorumSetup setup { group.empty() ? "control" : group, filePrefixOf(group), m_selfId, {}, {} };
    drawMemberOptions(setup.options);
    for (const auto &host : voters) {
        const MemberId first = memberIdOf(host, FirstIncarnation);
        m_hosts.emplace(first, host);
        if (m_incarnation == FirstIncarnation)
            setup.bootstrapVoters.push_back(first);
    }
    auto quorum = Quorum::start(
        m_context, *m_disk, std::move(setup), *machine,
        [this, group](RaftMessage message) { transmit(group, std::move(message)); });
    m_members.emplace(group, Member { std::move(machine), std::move(quorum).value() });
}

bool QuorumSet::contains(const std::string &group) const { return m_members.contains(group); }

const StateMachine *QuorumSet::machineOf(const std::string &group) const
{
    const auto it = m_members.find(group);
    return it == m_members.end() ? nullptr : it->second.machine.get();
}

Quorum *QuorumSet::find(const std::string &group)
{
    const auto it = m_members.find(group);
    return it == m_members.end() ? nullptr : it->second.quorum.get();
}

void QuorumSet::updateMember(const HostName &host, MemberId member)
{
    if (member == 0)
        return;
    m_hosts[member] = host;
    m_currentMembers[host] = member;
}

HostName QuorumSet::hostOf(MemberId member) const
{
    const auto it = m_hosts.find(member);
    return it == m_hosts.end() ? HostName() : it->second;
}

MemberId QuorumSet::memberOf(const HostName &host) const
{
    const auto it = m_currentMembers.find(host);
    return it == m_currentMembers.end() ? memberIdOf(host, FirstIncarnation) : it->second;
}

void QuorumSet::transmit(const std::string &group, RaftMessage message)
{
    const HostName host = hostOf(message.to);
    if (!host.empty())
        m_onSend(host, GroupMessage { group, std::move(message) });
}

void QuorumSet::receive(const HostName &from, const GroupMessage &message)
{
    // Ignores messages whose member id differs from that of the connected process.
    const auto known = m_currentMembers.find(from);
    if (known == m_currentMembers.end() || known->second != message.message.from)
        return;
    if (auto *quorum = find(message.group))
        quorum->receive(message.message);
}

HostName QuorumSet::leaderOf(const std::string &group)
{
    const auto *quorum = find(group);
    return quorum == nullptr ? HostName() : hostOf(quorum->status().leader);
}

bool QuorumSet::leads(const std::string &group)
{
    const auto *quorum = find(group);
    return quorum != nullptr && quorum->status().role == RaftRole::Leader;
}

void QuorumSet::reconcileMembers(const std::string &group, const std::vector<HostName> &voters)
{
    auto *quorum = find(group);
    if (quorum == nullptr || !quorum->hasLeaderLease())
        return;
    const RaftStatus status = quorum->status();
    std::vector<MemberId> listedMembers;
    for (const auto &host : voters) {
        const auto it = m_currentMembers.find(host);
        // The current member id of a host is unknown until it connects; no change starts before.
        if (it == m_currentMembers.end())
            return;
        listedMembers.push_back(it->second);
        if (ggv::contains(status.voters, it->second) || ggv::contains(status.learners, it->second))
            continue;
        logEvent(LogLevel::Info, "member-added",
                 { { "quorum", group.empty() ? "control" : group }, { "host", host.text() } });
        quorum->addMember(it->second);
        return;
    }
    for (const MemberId member : status.voters) {
        const bool replaced = !ggv::contains(listedMembers, member);
        const bool complete
            = std::all_of(listedMembers.begin(), listedMembers.end(),
                          [&status](MemberId it) { return ggv::contains(status.voters, it); });
        if (!replaced || !complete)
            continue;
        logEvent(LogLevel::Info, "member-removed",
                 { { "quorum", group.empty() ? "control" : group },
                   { "host", hostOf(member).text() },
                   { "member", member } });
        quorum->removeMember(member);
        return;
    }
}

MemberId QuorumSet::self() const noexcept { return m_selfId; }

std::vector<std::string> QuorumSet::groups() const
{
    std::vector<std::string> groups;
    for (const auto &[group, member] : m_members)
        groups.push_back(group);
    return groups;
}

} // namespace ggv
