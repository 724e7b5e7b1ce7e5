#pragma once

#include <ggv/coordination/fleet/target_list_reader.hpp>
#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/state/core/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

//! Start parameters of a control host.
struct ControlHostSetup
{
    HostAnnouncement self; //!< The member id is set from the data folder at start.
    std::vector<Endpoint> seeds; //!< Internal addresses of control hosts; may include this host.
    std::string dataFolder;
    bool initialize = false; //!< First start of the whole fleet, with empty disks.
    std::uint32_t toleratedFailures = 1; //!< Members that may fail at the same time.
};

//! Result of an operator's command.
struct CommandOutcome
{
    //! Ok, VersionConflict, NotLeader (the command was definitely not accepted) or
    //! ChangeOutcomeUnknown.
    ResultCode code = ResultCode::ChangeOutcomeUnknown;
    std::uint64_t currentVersion = 0;
};

/**
 * @brief Control host of the fleet: takes part in the quorum, tracks live hosts, and distributes
 * configuration and target lists to entry hosts. Not thread-safe; runs on one event loop.
 */
class ControlHost
{
public:
    /**
     * @brief Opens the data folder, joins the quorum and listens for other hosts.
     * @param context Event loop.
     * @param setup Identity and addresses.
     * @param reader Reads the platform's target list; must outlive the host.
     * @return The host, or StorageIo, StorageCorrupt or ConnectionLost.
     */
    [[nodiscard]] static Result<std::unique_ptr<ControlHost>>
    start(boost::asio::io_context &context, ControlHostSetup setup, TargetListReader &reader);

    ~ControlHost();
    ControlHost(const ControlHost &) = delete;
    ControlHost &operator=(const ControlHost &) = delete;

    //! Replaces the addresses to connect to while no other control host is known.
    void setSeeds(std::vector<Endpoint> seeds);
    //! Announces that this host is about to stop, so that the leader removes it from the quorum.
    void beginShutdown();
    //! @return True after beginShutdown() while the host should keep serving, because its removal
    //! from the quorum is still to come.
    [[nodiscard]] bool awaitsRemoval() const;
    //! Proposes a command to the quorum and waits for its result; fails unless this host is leader.
    [[nodiscard]] boost::asio::awaitable<CommandOutcome> execute(FleetCommand command);
    //! @return A state that includes every change accepted before the call; std::nullopt if the
    //! quorum cannot confirm that.
    [[nodiscard]] boost::asio::awaitable<std::optional<FleetState>> confirmedState();
    //! @return Operators' address of the leader if it is another live host, else std::nullopt.
    [[nodiscard]] std::optional<Endpoint> remoteLeader() const;
    //! @return True if this host is the leader and holds a leader lease from a majority.
    [[nodiscard]] bool isConfirmedLeader() const;
    //! @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string metricsText() const;
    //! @return Live entry hosts, ordered by name.
    [[nodiscard]] std::vector<HostAnnouncement> entryHosts() const;

private:
    class Implementation;
    explicit ControlHost(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
