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

//! What a control host needs to start.
struct ControlHostSetup
{
    HostAnnouncement self; //!< The member identity is filled in from the data folder.
    std::vector<Endpoint> seeds; //!< Internal addresses of control hosts; may include its own.
    std::string dataFolder;
    bool initialize = false; //!< The whole fleet starts for the first time, with empty disks.
    std::uint32_t toleratedFailures = 1; //!< Members that may be lost at the same time.
};

//! What became of an order of an operator.
struct CommandOutcome
{
    //! Ok, VersionConflict, NotLeader (certainly not accepted here), ChangeOutcomeUnknown.
    ResultCode code = ResultCode::ChangeOutcomeUnknown;
    std::uint64_t currentVersion = 0;
};

/**
 * @brief A host with a disk: member of the quorum, register of live hosts, source of what entry
 * hosts have to know. Belongs to one loop.
 */
class ControlHost
{
public:
    /**
     * @brief Starts it.
     * @param context Loop.
     * @param setup Identity and addresses.
     * @param reader Reads the platform's list; outlives the host.
     * @return The host, or StorageIo, StorageCorrupt, ConnectionLost.
     */
    [[nodiscard]] static Result<std::unique_ptr<ControlHost>>
    start(boost::asio::io_context &context, ControlHostSetup setup, TargetListReader &reader);

    ~ControlHost();
    ControlHost(const ControlHost &) = delete;
    ControlHost &operator=(const ControlHost &) = delete;

    //! Replaces the addresses that are tried when no known control host answers.
    void setSeeds(std::vector<Endpoint> seeds);
    //! Has a command accepted by the quorum; only as leader.
    [[nodiscard]] boost::asio::awaitable<CommandOutcome> execute(FleetCommand command);
    //! @return The state with every change accepted before the call; nothing if that is not sure.
    [[nodiscard]] boost::asio::awaitable<std::optional<FleetState>> confirmedState();
    //! @return Operators' address of the leader, if another live host leads.
    [[nodiscard]] std::optional<Endpoint> remoteLeader() const;
    //! @return True if this host leads and a majority confirms it.
    [[nodiscard]] bool isConfirmedLeader() const;
    //! @return All metrics in the text format of Prometheus.
    [[nodiscard]] std::string metricsText() const;
    //! @return Entry hosts that are alive and take new work.
    [[nodiscard]] std::vector<HostAnnouncement> entryHosts() const;

private:
    class Implementation;
    explicit ControlHost(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> m_implementation;
};

} // namespace ggv
