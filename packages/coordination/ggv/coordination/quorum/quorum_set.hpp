#pragma once

#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/model/register.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ggv {

//! Name of the control quorum in messages (empty).
inline constexpr std::string_view ControlGroup;

/**
 * @brief The quorums that a host is a member of, with the mapping between hosts and member ids.
 *
 * The leader of a quorum reconciles its members with the hosts that the register lists, one member
 * at a time: it adds the new identity of a host before it removes the old one. All functions must
 * be called on the control loop.
 */
class QuorumSet
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;

    /**
     * @brief Creates an empty set.
     * @param context Control loop.
     * @param disk Data folder, or null if the host has none.
     * @param self Name of this host.
     * @param incarnation Incarnation of the data folder.
     * @param onSend Sends a message to another host.
     */
    QuorumSet(boost::asio::io_context &context, Disk *disk, HostName self,
              std::uint64_t incarnation, SendHandler onSend);
    ~QuorumSet();
    QuorumSet(const QuorumSet &) = delete;
    QuorumSet &operator=(const QuorumSet &) = delete;

    /**
     * @brief Starts a member of a quorum; has no effect without a disk or if one is running.
     * @param group Name of the quorum.
     * @param voters Hosts of the quorum as listed in the register.
     * @param machine Replicated state machine.
     * @throws Error StorageCorrupt, StorageIdentityMismatch, StorageIo.
     */
    void join(const std::string &group, const std::vector<HostName> &voters,
              std::unique_ptr<StateMachine> machine);
    //! Returns true if this host runs a member of the quorum.
    [[nodiscard]] bool contains(const std::string &group) const;
    //! Returns the member of the quorum, or null if this host runs none.
    [[nodiscard]] Quorum *find(const std::string &group);
    //! Returns the state machine of the quorum's member, or null if this host runs none.
    [[nodiscard]] const StateMachine *machineOf(const std::string &group) const;
    //! Updates the member id of a host; 0 is ignored.
    void updateMember(const HostName &host, MemberId member);
    //! Delivers a message to the local member of its quorum. Ignores it if this host runs none or
    //! if the sender's member id is not the current one of its host.
    void receive(const HostName &from, const GroupMessage &message);
    //! Returns the host of the quorum's leader as known to this member; empty if unknown.
    [[nodiscard]] HostName leaderOf(const std::string &group);
    //! Returns true if this host leads the quorum.
    [[nodiscard]] bool leads(const std::string &group);
    //! Starts the next membership change towards the listed hosts, if this host leads the quorum.
    void reconcileMembers(const std::string &group, const std::vector<HostName> &voters);
    //! Returns the current member id of a host, or that of its first incarnation if unknown.
    [[nodiscard]] MemberId memberOf(const HostName &host) const;
    //! Returns the host of a member; empty if unknown.
    [[nodiscard]] HostName hostOf(MemberId member) const;
    //! Returns the member id of this host; 0 without a disk.
    [[nodiscard]] MemberId self() const noexcept;
    //! Returns the names of the quorums with a member on this host.
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
    std::map<HostName, MemberId> m_currentMembers; //!< Current member id of each host.
};

} // namespace ggv
