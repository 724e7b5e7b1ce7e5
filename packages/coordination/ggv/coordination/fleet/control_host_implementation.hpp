#pragma once

#include <ggv/coordination/fleet/control_host.hpp>
#include <ggv/coordination/fleet/control_metrics.hpp>
#include <ggv/coordination/fleet/delivery.hpp>
#include <ggv/coordination/fleet/document_history.hpp>
#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/coordination/fleet/fleet_mesh.hpp>
#include <ggv/coordination/fleet/fleet_state_machine.hpp>
#include <ggv/coordination/fleet/membership_reconciler.hpp>
#include <ggv/coordination/fleet/pause_detector.hpp>
#include <ggv/coordination/fleet/shared_target_list.hpp>
#include <ggv/coordination/fleet/starts_delivery.hpp>
#include <ggv/coordination/fleet/target_list_poller.hpp>
#include <ggv/coordination/fleet/target_state_relay.hpp>
#include <ggv/coordination/quorum/quorum.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace ggv {

/**
 * @brief State of a control host; each control_host*.cpp source implements one concern.
 */
class ControlHost::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    //! A connection opened by another host.
    struct Session
    {
        std::uint64_t id = 0; //!< Greater than those of all earlier connections.
        std::shared_ptr<FrameConnection> connection;
        std::optional<HostReport> report; //!< Latest report received.
        std::uint64_t sentRevision = 0;
        Delivery configuration; //!< By version.
        Delivery list; //!< Target list, by digest.
        std::vector<TargetStart> receivedStarts; //!< Of the list that follows.
        StartsDelivery starts = StartsDelivery::fromFirstList();
    };

    //! Number of members of the quorum.
    struct MembershipSize
    {
        std::size_t voters = 0;
        std::size_t learners = 0;
    };

    Implementation(boost::asio::io_context &context, ControlHostSetup setup,
                   TargetListReader &reader);

    // --- control_host.cpp
    void start();
    [[nodiscard]] ControlGauges gauges() const;

    // --- control_host_members.cpp
    void beginShutdown();
    [[nodiscard]] bool awaitsRemoval() const;

    boost::asio::io_context &m_context;
    ControlHostSetup m_setup;
    TargetListReader &m_reader;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<Disk> m_disk;
    FleetStateMachine m_stateMachine;
    FleetDirectory m_directory;
    FleetMesh m_mesh;
    MembershipReconciler m_reconciler;
    PauseDetector m_pauses { monotonicNow() };
    std::unique_ptr<Quorum> m_quorum;
    std::unique_ptr<FrameListener> m_listener;
    std::map<std::uint64_t, Session> m_sessions;
    std::uint64_t m_lastSession = 0;
    std::map<Endpoint, std::uint64_t> m_sentDigests; //!< Digest of the list last sent to or
                                                     //!< reported by each control host.
    std::shared_ptr<SharedTargetList> m_list = std::make_shared<SharedTargetList>();
    std::shared_ptr<TargetListPoller> m_listPoller;
    std::map<Endpoint, StartsDelivery> m_sentStarts; //!< To each control host.
    DocumentHistory m_documents;
    TargetStateRelay m_stateRelay;
    std::uint64_t m_configurationBytes = 0; //!< Sent to entry hosts since the start.
    std::uint64_t m_listBytes = 0; //!< Sent to entry hosts since the start.
    std::uint64_t m_completeLists = 0; //!< Sent to entry hosts since the start.
    Instant m_hostObservationsSentAt = Instant(Duration(0));
    bool m_started = false;
    bool m_isLeaving = false; //!< This host is about to stop.
    bool m_feedPending = false;

private:
    // --- control_host.cpp
    void startListPoller();
    [[nodiscard]] QuorumSetup quorumSetup(std::uint64_t incarnation) const;
    void tick();
    void observeSelf();

    // --- control_host_members.cpp
    void observeTransfers();
    [[nodiscard]] std::set<Endpoint> peers(Instant now) const;
    [[nodiscard]] bool isMember(MemberId member) const;
    [[nodiscard]] std::optional<Endpoint> endpointOf(MemberId member) const;
    void sendRaftMessage(RaftMessage message);
    void reconcileMembers(Instant now);
    static void logMembershipStep(const MembershipStep &step, const MembershipSize &size);
    void carryOut(const MembershipStep &step);

    // --- control_host_sessions.cpp
    [[nodiscard]] HostReport ownReport() const;
    void sendInitialReports(const Endpoint &peer);
    [[nodiscard]] std::vector<HostObservation> ownHostObservations(Instant now) const;
    void sendHostObservations(Instant now);
    void accept(const std::shared_ptr<FrameConnection> &connection);
    void sessionClosed(std::uint64_t id, const char *reason);
    void receive(std::uint64_t id, ByteView bytes);
    void handle(Session &session, const HostReport &report);
    [[nodiscard]] bool isOutdatedDeparture(const Session &session) const;
    void handle(Session &, const HostObservationReport &report);
    void handle(Session &session, const QuorumEnvelope &envelope);
    void handle(Session &session, const TargetListReport &report);
    void handle(Session &, const FleetFeed &);
    void handle(Session &, const DocumentUpdate &);
    void handle(Session &session, const TargetStateReports &reports);
    void forwardStateReports(Instant now);
    void onHostChanged(const HostAnnouncement &host);
    void sendToControlHosts(const FleetMessage &message);
    static void logHostSeen(const HostAnnouncement &host);

    // --- control_host_feeds.cpp
    [[nodiscard]] bool hasCurrentState() const;
    void sendFeed(Session &session);
    void sendDocument(Session &session, Instant now);
    void sendList(Session &session, Instant now);
    //! @return Message with the starts of targets to send before the next list, if there are any.
    [[nodiscard]] std::optional<TargetStateReports> takeStarts(StartsDelivery &delivery) const;
    void sendListToControlHost(const Endpoint &peer);
    void sendListToEntryHosts();
    void onStateChanged();
    void sendFeedToEntryHosts();
    void sendListToAll();
};

} // namespace ggv
