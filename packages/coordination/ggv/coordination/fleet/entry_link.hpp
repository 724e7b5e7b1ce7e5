#pragma once

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
 * @brief Keeps an entry host attached to one live control host, the nearest first.
 *
 * Moves on when the control host is silent or does not follow a confirmed leader. What was learnt
 * stays in force while no control host answers. Belongs to one loop.
 */
class EntryLink : public std::enable_shared_from_this<EntryLink>
{
public:
    //! Called with newer states and lists.
    struct Handlers
    {
        std::function<void(const FleetFeed &)> onFeed; //!< Not older than the one before.
        std::function<void(const TargetList &, Duration age)> onTargets; //!< Changed content.
        //! Gives what this host saw of targets since the last call.
        std::function<std::vector<TargetStateReport>()> takeStateReports
            = [] { return std::vector<TargetStateReport>(); };
        //! Called with what other entry hosts saw of targets.
        std::function<void(const std::vector<TargetStateReport> &)> onStateReports
            = [](const std::vector<TargetStateReport> &) {};
    };

    //! @param context Loop. @param self What this host says of itself. @param seeds Internal
    //! addresses of control hosts. @param handlers Run on the loop.
    [[nodiscard]] static std::shared_ptr<EntryLink> start(boost::asio::io_context &context,
                                                          HostAnnouncement self,
                                                          std::vector<Endpoint> seeds,
                                                          Handlers handlers);
    ~EntryLink();

    //! Tells the control host whether this host takes new work.
    void setReady(bool ready);
    //! Replaces the addresses that are tried when no known control host answers.
    void setSeeds(std::vector<Endpoint> seeds);
    //! @return Time since the last confirmed state, or since the start if there was none.
    [[nodiscard]] Duration stateAge() const;
    //! @return Time since the list of targets was read.
    [[nodiscard]] Duration listAge() const;

private:
    EntryLink(boost::asio::io_context &context, HostAnnouncement self, std::vector<Endpoint> seeds,
              Handlers handlers);

    void tick();
    void connectNext();
    void opened(std::shared_ptr<FrameConnection> connection);
    void drop(const char *reason);
    void sendReport();
    void sendSightings();
    void receive(ByteView bytes);
    void handle(const FleetFeed &feed);
    void handle(const TargetListReport &report);
    [[nodiscard]] std::vector<Endpoint> candidates() const;
    [[nodiscard]] Duration feedTimeout() const;
    [[nodiscard]] int distance(const HostAnnouncement &host) const;

    boost::asio::io_context &m_context;
    HostAnnouncement m_self;
    std::vector<Endpoint> m_seeds;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::vector<HostAnnouncement> m_controlHosts;
    SharedTargetList m_list;
    std::uint64_t m_revision = 0;
    std::shared_ptr<FrameConnection> m_connection;
    Endpoint m_peer;
    bool m_connecting = false;
    std::size_t m_failures = 0; //!< Control hosts in a row that gave no confirmed state.
    Instant m_reportedAt = Instant(Duration(0));
    Instant m_connectedAt = Instant(Duration(0));
    bool m_peerIsBehind = false; //!< The control host says that it follows no confirmed leader.
    Instant m_confirmedAt = monotonicNow(); //!< Last feed of a confirmed state, or the start.
};

} // namespace ggv
