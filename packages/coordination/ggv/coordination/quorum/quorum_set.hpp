#pragma once

#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/model/register.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ggv {

//! Name of the control quorum in messages.
inline constexpr std::string_view ControlGroup;

/**
 * @brief The quorums that a host is a member of, and which host each member is.
 *
 * The leader of a quorum keeps its members equal to the hosts that the register lists: it takes a
 * new identity of a host in before it removes the old one, one member at a time. Belongs to the
 * control loop.
 */
class QuorumSet
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;

    /**
     * @brief Creates an empty set.
     * @param context Control loop.
     * @param disk Data folder; null if the host has none.
     * @param self The host.
     * @param incarnation Of its data folder.
     * @param onSend Sends to another host.
     */
    QuorumSet(boost::asio::io_context &context, Disk *disk, HostName self,
              std::uint64_t incarnation, SendHandler onSend);
    ~QuorumSet();
    QuorumSet(const QuorumSet &) = delete;
    QuorumSet &operator=(const QuorumSet &) = delete;

    /**
     * @brief Joins a quorum if the host has a disk and does not take part yet.
     * @param group Name of the quorum.
     * @param voters Hosts that the register lists.
     * @param machine Replicated content.
     * @throws Error StorageCorrupt, StorageIdentityMismatch, StorageIo.
     */
    void join(const std::string &group, const std::vector<HostName> &voters,
              std::unique_ptr<StateMachine> machine);
    //! @return True if the host takes part in the quorum.
    [[nodiscard]] bool contains(const std::string &group) const;
    //! @return The member, or null.
    [[nodiscard]] Quorum *find(const std::string &group);
    //! @return What the member has applied, or null.
    [[nodiscard]] const StateMachine *machineOf(const std::string &group) const;
    //! Learns which identity a host has now.
    void updateMember(const HostName &host, MemberId member);
    //! Hands a message to its quorum.
    void receive(const HostName &from, const GroupMessage &message);
    //! Host of the quorum's leader as far as this member knows; empty if unknown.
    [[nodiscard]] HostName leaderOf(const std::string &group);
    //! @return True if this host leads the quorum.
    [[nodiscard]] bool leads(const std::string &group);
    //! If this host leads the quorum, does the next step towards the listed hosts.
    void reconcileMembers(const std::string &group, const std::vector<HostName> &voters);
    //! @return Identity that a host has in quorums, as far as known.
    [[nodiscard]] MemberId memberOf(const HostName &host) const;
    //! @return Host of a member; empty if unknown.
    [[nodiscard]] HostName hostOf(MemberId member) const;
    //! @return Identity of this host in quorums.
    [[nodiscard]] MemberId self() const noexcept;
    //! @return Names of the quorums.
    [[nodiscard]] std::vector<std::string> groups() const;

private:
    struct Member
    {
        std::unique_ptr<StateMachine> machine;
        std::unique_ptr<Quorum> quorum;
    };

    void transmit(const std::string &group, RaftMessage message);

    boost::asio::io_context &m_context;
    Disk *m_disk;
    HostName m_self;
    std::uint64_t m_incarnation;
    MemberId m_selfId;
    SendHandler m_onSend;
    std::map<std::string, Member> m_members;
    std::map<MemberId, HostName> m_hosts;
    std::map<HostName, MemberId> m_current; //!< Identities that hosts have now.
};

} // namespace ggv
