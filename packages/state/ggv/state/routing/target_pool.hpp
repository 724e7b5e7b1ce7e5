#pragma once

#include <ggv/state/core/random_source.hpp>
#include <ggv/state/health/target_health.hpp>
#include <ggv/state/routing/listed_target.hpp>
#include <ggv/state/routing/route_table.hpp>
#include <ggv/state/routing/target_state_report.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ggv {

//! Where a host is, and which region each failure domain belongs to.
struct Topology
{
    FailureDomainName ownDomain;
    std::map<FailureDomainName, RegionName> regions; //!< Region of each failure domain.

    //! @return Region of a failure domain; empty if it is not known.
    [[nodiscard]] RegionName regionOf(const FailureDomainName &domain) const;
};

//! Load that a target reported with an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    [[nodiscard]] auto operator<=>(const ReportedLoad &) const noexcept = default;
};

//! What one entry host knows of one target.
class PooledTarget
{
public:
    PooledTarget(ListedTarget listing, RegionName region);

    //! @return The newest listing.
    [[nodiscard]] const ListedTarget &listing() const noexcept { return m_listing; }
    //! @return Region of the target.
    [[nodiscard]] const RegionName &region() const noexcept { return m_region; }
    //! @return Requests of this host in flight.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    //! @return Requests of all hosts that the target is thought to execute or queue.
    [[nodiscard]] double load(Instant now) const noexcept;

private:
    friend class TargetPool;

    ListedTarget m_listing;
    RegionName m_region;
    std::uint64_t m_digest = 0;
    TargetHealth m_health;
    std::unordered_map<std::uint64_t, Instant> m_recentObjects; //!< Served for this host, and when.
    std::uint32_t m_inFlight = 0;
    double m_othersLoad = 0.0; //!< Requests of other hosts, by the newest report.
    Instant m_reportedAt = Instant::min();
    bool m_wasBusy = false; //!< By the newest own report: all its slots were taken.
    bool m_isDown = false; //!< As reported.
    bool m_replaced = false; //!< Another instance answered at its address.
    Instant m_coldUntil = Instant::min();
    double m_coldTokens = 0.0;
    Instant m_coldRefilledAt = Instant::min();
};

using PooledTargetRef = std::shared_ptr<PooledTarget>;

//! What a request needs of its target.
struct TargetQuery
{
    const Route *route = nullptr;
    ServiceName service;
    std::optional<std::uint64_t> object; //!< Digest of the object, for affinity.
    std::set<std::string> triedInstances; //!< Instances that must not be chosen again.
};

//! What a host comes to believe of a target.
enum class TargetStatus : std::uint8_t {
    Listed, //!< Known for the first time.
    Delisted, //!< No longer in the platform's list.
    Leaving,
    Cold, //!< Bears only its cold rate for a time.
    Replaced, //!< Another instance answers at its address.
    Down, //!< Gets no requests for a time because they failed.
    Working, //!< Works again after it was down.
};

//! @return Name of a belief for logs.
[[nodiscard]] std::string_view targetStatusName(TargetStatus status) noexcept;

//! A change of belief and what it rests on.
struct TargetStatusChange
{
    const ListedTarget &target;
    TargetStatus status = TargetStatus::Listed;
    const char *source = ""; //!< What it rests on.
    Duration age { 0 }; //!< Of the source.
    Duration statusDuration { 0 }; //!< For Cold.
};

//! How long a service's targets take, by what they know of the object.
struct ServiceTimeEstimate
{
    double known = 0.0; //!< In microseconds; 0: not seen yet.
    double unknown = 0.0; //!< In microseconds; 0: not seen yet.

    [[nodiscard]] auto operator<=>(const ServiceTimeEstimate &) const noexcept = default;
};

//! Why no target was chosen.
enum class NoTargetReason : std::uint8_t {
    NoneListed, //!< The service has no target that may serve the request at all.
    AllFull,
};

//! What became of a choice.
struct TargetChoice
{
    PooledTargetRef target; //!< Null if none was chosen.
    NoTargetReason reason = NoTargetReason::NoneListed; //!< Only if there is no target.
    double load = 0.0; //!< Load of the target when it was chosen.
    std::uint32_t rank = 0; //!< Targets that affinity would have preferred.
    Duration expectedWait { 0 }; //!< For a slot of the target.
    std::optional<std::uint64_t> object; //!< Object of the request, if affinity counts.
    bool knowsObject = false; //!< The target has served the object recently.
};

/**
 * @brief Chooses targets on one entry host: affinity bounded by load, cold rates, health, drains.
 *
 * Pure: explicit instants, no input or output. Used by one thread.
 */
class TargetPool
{
public:
    //! @param topology Where this host is.
    explicit TargetPool(Topology topology);

    /**
     * @brief Takes in a newer reading of the platform's list.
     * @param list The reading. @param age Time since it was read. @param now Current time.
     */
    void update(const TargetList &list, Duration age, Instant now);
    //! Sets a function that is called with each change of belief.
    void setObserver(std::function<void(const TargetStatusChange &)> onChange);
    //! Takes in what the operators say of services.
    void setRules(const RouteRules &rules);
    //! Takes in how many entry hosts share the targets; at least 1.
    void setEntryHosts(std::size_t count) noexcept;
    //! Takes in the failure domains whose targets get no requests.
    void setEvacuated(const std::set<FailureDomainName> &domains, Instant now);

    //! Chooses a target and counts a request in flight to it.
    //! @param timeLeft Until the request's deadline.
    [[nodiscard]] TargetChoice choose(const TargetQuery &demand, Duration timeLeft, Instant now,
                                      RandomSource &random);
    //! Ends a request in flight. @param outcome How it ended; nothing: it says nothing of health.
    void finish(const TargetChoice &choice, std::optional<TargetOutcome> outcome, Instant sentAt,
                Instant now);
    //! Takes in the load that came with an answer.
    void observeLoad(PooledTarget &target, const ReportedLoad &load, Instant now);
    //! Another instance answered at the target's address: it gets nothing until it is listed anew.
    void observeReplaced(PooledTarget &target);
    //! @return What was seen since the last call of targets that are or were busy, or replaced.
    [[nodiscard]] std::vector<TargetStateReport> takeStateReports(Instant now);
    //! Takes in what other entry hosts saw; own newer evidence counts first.
    void applyStateReports(const std::vector<TargetStateReport> &sightings, Instant now);
    //! The target may have restarted: it counts as cold until the platform's list says otherwise.
    void observeRestart(PooledTarget &target, Instant now);

    //! @return Expected time until the service can take a request again.
    [[nodiscard]] Duration retryAfter(const ServiceName &service) const noexcept;
    //! @return True once a list was taken in.
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }
    //! @return All known targets.
    [[nodiscard]] std::vector<PooledTargetRef> targets() const;

private:
    using Candidates = std::vector<PooledTargetRef>;

    struct RankedTarget
    {
        double rank = 0.0;
        PooledTargetRef target;
    };

    [[nodiscard]] bool mayServe(const PooledTarget &target, const TargetQuery &demand,
                                Instant now) const;
    [[nodiscard]] bool isHealthy(const PooledTarget &target, Instant now) const;
    [[nodiscard]] double ownRegionWeight(const Candidates &candidates) const;
    [[nodiscard]] bool isInOwnRegion(const PooledTarget &target) const;
    [[nodiscard]] std::vector<RankedTarget> rank(const TargetQuery &demand, Instant now,
                                                 RandomSource &random) const;
    //! A target that could take a request, and what that would cost.
    struct EvaluatedTarget
    {
        const RankedTarget *candidate = nullptr;
        std::uint32_t rank = 0;
        Duration wait { 0 };
        Duration total { 0 };
        bool knowsObject = false;
    };

    [[nodiscard]] EvaluatedTarget evaluate(const RankedTarget &candidate, std::uint32_t rank,
                                           const TargetQuery &demand, Instant now) const;
    [[nodiscard]] ServiceTimeEstimate serviceTimesFor(const TargetQuery &demand) const;
    void recordServiceTime(const TargetChoice &choice, Instant sentAt, Instant now);
    [[nodiscard]] std::optional<double> coldRateLimitOf(const PooledTarget &target,
                                                        Instant now) const;
    [[nodiscard]] bool tryAcquireColdToken(PooledTarget &target, Instant now);
    void extendColdPeriod(PooledTarget &target, Duration coldDuration, const char *source,
                          Duration age, Instant now);
    void report(const PooledTarget &target, TargetStatus status, const char *source,
                Duration age = Duration(0), Duration statusDuration = Duration(0)) const;
    void markCold(PooledTarget &target, const char *source, Instant now);
    void observeHealth(PooledTarget &target, TargetOutcome outcome, Instant sentAt, Instant now);
    void removeMissing(const std::map<std::string, PooledTargetRef> &listed, Duration age) const;

    Topology m_topology;
    std::function<void(const TargetStatusChange &)> m_onChange = [](const TargetStatusChange &) {};
    std::map<ServiceName, Candidates> m_services;
    std::map<std::string, PooledTargetRef> m_byInstance;
    std::map<ServiceName, ServicePolicy> m_policies;
    std::map<ServiceName, ServiceTimeEstimate> m_serviceTimes;
    std::set<FailureDomainName> m_evacuated;
    std::set<std::string> m_pendingReports; //!< Instances that other entry hosts should know of.
    std::size_t m_entryHosts = 1;
    bool m_hasList = false;
};

} // namespace ggv
