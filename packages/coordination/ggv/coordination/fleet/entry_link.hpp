#pragma once

#include <ggv/coordination/fleet/received_document.hpp>
#include <ggv/coordination/fleet/shared_target_list.hpp>
#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

/**
 * @brief Maintains an entry host's connection to one live control host, preferring the nearest.
 *
 * Switches to the next control host if the current one stops sending or does not follow a confirmed
 * leader. The last received state stays in force while no control host is reachable. Not
 * thread-safe; runs on one event loop.
 */
class EntryLink : public std::enable_shared_from_this<EntryLink>
{
public:
    //! Callbacks for received updates; they run on the event loop.
    struct Handlers
    {
        std::function<void(const FleetFeed &)> onFeed; //!< Revisions never decrease.
        //! Called with each newer configuration document; may follow the feed that announces it.
        std::function<void(std::uint64_t version, ByteView document)> onConfiguration;
        std::function<void(const TargetList &, Duration age)> onTargets; //!< Called on a change.
        //! Returns the state reports that this host made about targets since the last call.
        std::function<std::vector<TargetStateReport>()> takeStateReports
            = [] { return std::vector<TargetStateReport>(); };
        //! Called with state reports about targets from other entry hosts.
        std::function<void(const std::vector<TargetStateReport> &)> onStateReports
            = [](const std::vector<TargetStateReport> &) {};
    };

    //! @param context Event loop. @param self Announcement of this host. @param seeds Internal
    //! addresses of control hosts. @param handlers Callbacks, run on the event loop.
    [[nodiscard]] static std::shared_ptr<EntryLink> start(boost::asio::io_context &context,
                                                          HostAnnouncement self,
                                                          std::vector<Endpoint> seeds,
                                                          Handlers handlers);
    ~EntryLink();

    //! Reports to the control host whether this host accepts new requests.
    void setReady(bool ready);
    //! Reports to the control host whether this host reaches targets.
    void setReachesTargets(bool reachesTargets);
    //! Replaces the addresses to connect to when no announced control host is reachable.
    void setSeeds(std::vector<Endpoint> seeds);
    //! @return Time since the state known here was surely the newest, or since the start. A feed
    //! that was delayed on its way proves nothing about the time after the report that it answers.
    [[nodiscard]] Duration stateAge() const;
    //! @return Time since the target list was read from the platform.
    [[nodiscard]] Duration listAge() const;
    //! @return Number of reports of another target list than the held one that were not applied.
    [[nodiscard]] std::uint64_t ignoredLists() const noexcept { return m_ignoredLists; }

private:
    EntryLink(boost::asio::io_context &context, HostAnnouncement self, std::vector<Endpoint> seeds,
              Handlers handlers);

    void tick();
    void connectToNext();
    void onConnectionOpened(std::shared_ptr<FrameConnection> connection);
    void disconnect(const char *reason);
    void sendReport();
    void sendStateReports();
    void receive(ByteView bytes);
    void handle(const FleetFeed &feed);
    void handle(const TargetListReport &report);
    void handle(const TargetStateReports &reports);
    void handle(const DocumentUpdate &update);
    void recordIgnoredList(const TargetListReport &report, bool isIgnored);
    [[nodiscard]] std::vector<Endpoint> candidateEndpoints() const;
    [[nodiscard]] Duration feedTimeout() const;
    [[nodiscard]] bool isReceivingState(Instant now) const;
    [[nodiscard]] int distance(const HostAnnouncement &host) const;

    boost::asio::io_context &m_context;
    HostAnnouncement m_self;
    std::vector<Endpoint> m_seeds;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::vector<HostAnnouncement> m_controlHosts;
    SharedTargetList m_list;
    //! Of the list that follows on the connection: the known one may show the earlier start.
    std::vector<TargetStart> m_receivedStarts;
    std::uint64_t m_ignoredLists = 0; //!< Since the start.
    bool m_ignoresLists = false; //!< True if the last report of a target list was not applied.
    ReceivedDocument m_document;
    std::uint64_t m_revision = 0;
    std::shared_ptr<FrameConnection> m_connection;
    Endpoint m_peer;
    bool m_connecting = false;
    std::size_t m_failures = 0; //!< Consecutive control hosts without a confirmed state.
    Instant m_reportedAt = Instant(Duration(0));
    Instant m_connectedAt = Instant(Duration(0));
    Instant m_notSentBefore {}; //!< Messages that arrive from now on were not sent earlier.
    bool m_peerIsBehind = false; //!< The control host reports that it follows no confirmed leader,
                                 //!< or its state is older.
    Instant m_confirmedAt = monotonicNow(); //!< Arrival of the last confirmed state, or the start.
    Instant m_currentAt = m_confirmedAt; //!< Time at which the confirmed state was the newest.
};

} // namespace ggv
