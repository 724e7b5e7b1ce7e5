#pragma once

#include <ggv/state/core/random_source.hpp>
#include <ggv/state/health/target_health.hpp>
#include <ggv/state/routing/departed_targets.hpp>
#include <ggv/state/routing/listed_target.hpp>
#include <ggv/state/routing/placement.hpp>
#include <ggv/state/routing/route_table.hpp>
#include <ggv/state/routing/smoothed_load.hpp>
#include <ggv/state/routing/target_backoff.hpp>
#include <ggv/state/routing/target_rate_limit.hpp>
#include <ggv/state/routing/target_rate_limit_report.hpp>
#include <ggv/state/routing/target_state_report.hpp>

#include <algorithm>
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

//! Failure domain of this host and the region of each failure domain.
struct Topology
{
    FailureDomainName ownDomain;
    std::map<FailureDomainName, RegionName> regions; //!< Region by failure domain.

    //! @return Region of the failure domain; empty if the failure domain is unknown.
    [[nodiscard]] RegionName regionOf(const FailureDomainName &domain) const;
};

//! Load that a target reports in the headers of an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    [[nodiscard]] auto operator<=>(const ReportedLoad &) const noexcept = default;
};

//! State of one target as seen by one entry host.
class PooledTarget
{
public:
    PooledTarget(ListedTarget listing, RegionName region);

    //! @return The most recent entry of the platform's list.
    [[nodiscard]] const ListedTarget &listing() const noexcept { return m_listing; }
    [[nodiscard]] const RegionName &region() const noexcept { return m_region; }
    //! @return Number of this host's requests in flight to the target.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    //! @return Estimated number of requests of all hosts that the target executes or queues.
    [[nodiscard]] double load(Instant now) const noexcept;

private:
    friend class TargetPool;

    //! Records the number of requests at the target for its smoothed load.
    void recordLoad(double load, Instant now) noexcept;
    //! Returns the end of the cold period.
    [[nodiscard]] Instant coldUntil() const noexcept
    {
        return std::max(m_coldUntil, m_coldUntilByFailure);
    }

    ListedTarget m_listing;
    RegionName m_region;
    std::uint64_t m_digest = 0;
    TargetHealth m_health;
    std::unordered_map<std::uint64_t, Instant>
        m_recentObjects; //!< Time of the last request by digest of the object, for requests of this
                         //!< host.
    std::uint32_t m_inFlight = 0;
    double m_othersLoad = 0.0; //!< Requests of other hosts, according to the latest report.
    Instant m_reportedAt = Instant::min();
    SmoothedLoad m_smoothedLoad;
    bool m_wasReportedBusy
        = false; //!< All slots were in use according to the latest report to this host.
    bool m_isDown = false; //!< The last notification of the observer was Down, not Working.
    //! The target said that it is leaving, or another instance answered at its address.
    bool m_departed = false;
    bool m_isListedLeaving = false; //!< According to the present list alone.
    Instant m_departureSeenAt = Instant::min(); //!< Last evidence that the target is leaving.
    Instant m_startSeenAt = Instant::min(); //!< Older reports are of an earlier start.
    TargetBackoff m_backoff;
    TargetRateLimit m_rateLimit;
    Instant m_coldUntil = Instant::min(); //!< According to the platform's list or an evacuation.
    Instant m_coldUntilByFailure = Instant::min(); //!< Because a failure may mean a restart.
    Instant m_failedAt = Instant::min(); //!< Time of the last failure that counts as evidence.
    double m_coldTokens = 0.0;
    Instant m_coldRefilledAt = Instant::min();
};

using PooledTargetRef = std::shared_ptr<PooledTarget>;

//! Selection criteria for the target of a request.
struct TargetQuery
{
    const Route *route = nullptr;
    ServiceName service;
    std::optional<std::uint64_t> object; //!< Digest of the requested object, for affinity.
    std::set<std::string> triedInstances; //!< Instances that were tried already and are excluded.
};

//! Status of a target as determined by this host.
enum class TargetStatus : std::uint8_t {
    Listed, //!< Appeared in the platform's list.
    Restarted, //!< Started again under its name.
    Delisted, //!< Disappeared from the platform's list.
    Leaving,
    Cold, //!< Limited to the cold rate for a period.
    Replaced, //!< Another instance answers at the target's address.
    Departed, //!< Leaving or replaced, according to another host.
    Down, //!< Receives no requests for a period because requests failed.
    Working, //!< Recovered after it was down.
    BackingOff, //!< Receives no requests for the time that it stated.
    RateLimited, //!< States a limit on the requests of all hosts.
    Unlimited, //!< No longer states such a limit.
};

//! @return Name of the status for logs.
[[nodiscard]] std::string_view targetStatusName(TargetStatus status) noexcept;

//! Change of a target's status, with the evidence for it.
struct TargetStatusChange
{
    const ListedTarget &target;
    TargetStatus status = TargetStatus::Listed;
    const char *source = ""; //!< Name of the evidence for the change.
    Duration age { 0 }; //!< Age of the evidence.
    Duration statusDuration { 0 }; //!< Length of the period; set only for Cold and BackingOff.
    double requestsPerSecond = 0.0; //!< Stated limit; set only for RateLimited.
};

//! Reason why no target was chosen.
enum class NoTargetReason : std::uint8_t {
    NoneListed, //!< The service has no target that may serve the request.
    AllFull, //!< Every eligible target has too long a queue or no cold-rate token.
    AllBackingOff, //!< Every eligible target stated a Retry-After that has not passed.
    AllRateLimited, //!< Every eligible target states a rate limit, and this host's share is used
                    //!< up.
};

//! Result of TargetPool::choose().
struct TargetChoice
{
    PooledTargetRef target; //!< Null if none was chosen.
    NoTargetReason reason = NoTargetReason::NoneListed; //!< Valid only if target is null.
    double load = 0.0; //!< Load of the target at the time of the choice.
    std::uint32_t rank = 0; //!< Number of targets that affinity prefers to this one.
    Duration expectedWait { 0 }; //!< Expected wait for a slot of the target.
    std::optional<std::uint64_t> object; //!< Object of the request if the route uses affinity.
    bool knowsObject = false; //!< The target has served the object recently.
};

/**
 * @brief Chooses targets on an entry host by affinity, subject to load, cold rates, health and
 * drains.
 *
 * Performs no I/O and takes the current time as an argument. Not thread-safe.
 */
class TargetPool
{
public:
    //! Time for which the list must contradict the evidence that a target is leaving: until then it
    //! may be out of date.
    static constexpr Duration DoubtTime = std::chrono::seconds(3);

    explicit TargetPool(Topology topology);

    /**
     * @brief Updates the targets from the platform's list.
     * @param list The list.
     * @param age Time since the list was read.
     * @param now Current time.
     */
    void update(const TargetList &list, Duration age, Instant now);
    //! Sets the function that is called for each change of a target's status.
    void setObserver(std::function<void(const TargetStatusChange &)> onChange);
    //! Updates the service policies.
    void setRules(const RouteRules &rules);
    //! Sets the number of entry hosts that share the targets; values below 1 count as 1.
    void setEntryHosts(std::size_t count) noexcept;
    //! Sets the evacuated failure domains; targets there receive no requests.
    void setEvacuated(const std::set<FailureDomainName> &domains, Instant now);

    //! Chooses a target and counts one request in flight to it.
    //! @param timeLeft Time until the request's deadline.
    [[nodiscard]] TargetChoice choose(const TargetQuery &query, Duration timeLeft, Instant now,
                                      RandomSource &random);
    //! Records the end of a request in flight.
    //! @param outcome How the request ended; empty if this is no evidence of the target's health.
    void finish(const TargetChoice &choice, std::optional<TargetOutcome> outcome, Instant sentAt,
                Instant now);
    //! Updates the target's load from the report in an answer.
    void observeLoad(PooledTarget &target, const ReportedLoad &load, Instant now);
    //! Excludes the target until its address is listed with another instance, because another
    //! instance answered there.
    void observeReplaced(PooledTarget &target, Instant now);
    //! Excludes the target because an answer of it says that it is leaving.
    void observeLeaving(PooledTarget &target, Instant now);
    //! @return Targets that are excluded as leaving although the list has shown them as ready for
    //! DoubtTime: they may have started again without a known start.
    [[nodiscard]] std::vector<PooledTargetRef> doubtfulDepartures(Instant now) const;
    /**
     * @brief Uses a target again that was excluded as leaving, because it says that it is not.
     * @param target The target; ignored if there is later evidence that it is leaving.
     * @param sentAt Time at which the target was asked.
     * @param coldDuration Time for which the target says that it is cold.
     * @param now Current time.
     */
    void observeNotLeaving(const PooledTarget &target, Instant sentAt, Duration coldDuration,
                           Instant now);
    //! Excludes the target for the Retry-After of an answer with which it rejected a request.
    void observeRetryAfter(PooledTarget &target, Duration retryAfter, Instant now);
    //! Records the rate limit that an answer of the target states. @param sentAt Time at which the
    //! answered request was sent.
    void observeRateLimit(PooledTarget &target, std::optional<double> perSecond, Instant sentAt,
                          Instant now);
    //! @return Rate limits of which other hosts should be told since the last call.
    [[nodiscard]] std::vector<TargetRateLimitReport> takeRateLimitReports(Instant now);
    //! Applies rate limits that were stated to other entry hosts.
    void applyRateLimitReports(const std::vector<TargetRateLimitReport> &reports, Instant now);
    //! Sets this host's shares of rate limits, as assigned by a control host.
    void applyRateLimitShares(const std::vector<TargetRateLimitShare> &shares);
    //! @return Number of targets that state a rate limit.
    [[nodiscard]] std::size_t rateLimitedTargets(Instant now) const;
    //! @return True if a request that was assigned to the target earlier may still be sent to it.
    [[nodiscard]] bool mayReceive(const PooledTarget &target, Instant now) const;
    //! @return State of the targets that were busy, stopped being busy or departed since the last
    //! call.
    [[nodiscard]] std::vector<TargetStateReport> takeStateReports(Instant now);
    //! Applies state reports of other entry hosts unless this host has newer evidence.
    void applyStateReports(const std::vector<TargetStateReport> &reports, Instant now);
    //! Marks the target as cold for the service's cold start time; it may have restarted.
    void observeRestart(PooledTarget &target, Instant now);
    //! Takes back the evidence against all targets that failed since the given time, because this
    //! host was cut off from all of them.
    void forgetFailures(Instant since);

    //! @return When the caller of a rejected request should retry: once the first target accepts
    //! requests again, if all of them stated a Retry-After or a rate limit; otherwise once a target
    //! that has the object is expected to have room.
    [[nodiscard]] RetryDelay retryDelay(TargetQuery query, Instant now, RandomSource &random) const;
    //! @return True after the first call of update().
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }
    //! @return All known targets.
    [[nodiscard]] std::vector<PooledTargetRef> targets() const;
    //! @return Configuration of a service; a default one if it has none.
    [[nodiscard]] ServicePolicy policyOf(const ServiceName &service) const;

private:
    using Candidates = std::vector<PooledTargetRef>;

    struct RankedTarget
    {
        double rank = 0.0;
        PooledTargetRef target;
    };

    [[nodiscard]] bool mayServe(const PooledTarget &target, const TargetQuery &query,
                                Instant now) const;
    [[nodiscard]] bool isEligible(const PooledTarget &target, const TargetQuery &query) const;
    [[nodiscard]] std::optional<Instant> earliestBackoffEnd(const TargetQuery &query,
                                                            Instant now) const;
    [[nodiscard]] std::optional<Instant> earliestAvailability(const TargetQuery &query,
                                                              Instant now) const;
    [[nodiscard]] RetryDelay delayUntilRoom(const TargetQuery &query, Instant now,
                                            RandomSource &random) const;
    [[nodiscard]] Instant coldTokenAvailableAt(const PooledTarget &target, Instant now) const;
    [[nodiscard]] Instant rateLimitAvailableAt(const PooledTarget &target, Instant now) const;
    [[nodiscard]] double defaultRateLimitShare() const noexcept;
    void notifyRateLimit(const PooledTarget &target, const char *source, Duration age) const;
    void exclude(PooledTarget &target, TargetStatus status, Instant now);
    [[nodiscard]] bool isCurrent(const PooledTarget &target) const;
    [[nodiscard]] PooledTarget *findSameStart(PooledTarget &target) const;
    [[nodiscard]] PooledTargetRef updatedTarget(ListedTarget listing, Duration age, Instant now);
    [[nodiscard]] PooledTargetRef restartedTarget(const PooledTarget &earlier, ListedTarget listing,
                                                  Instant now) const;
    void applyListing(PooledTarget &target, const ListedTarget &listing, Duration age, Instant now);
    void applyDeparture(PooledTarget &target, const TargetStateReport &report, Instant now);
    [[nodiscard]] bool isHealthy(const PooledTarget &target, Instant now) const;
    [[nodiscard]] double ownRegionWeight(const Candidates &candidates) const;
    [[nodiscard]] static double meanSmoothedLoad(const Candidates &candidates, Instant now);
    [[nodiscard]] bool isInOwnRegion(const PooledTarget &target) const;
    [[nodiscard]] std::vector<RankedTarget> rank(const TargetQuery &query, Instant now,
                                                 RandomSource &random) const;
    [[nodiscard]] std::vector<PlacementCandidate>
    placementCandidates(const std::vector<RankedTarget> &ranked, const TargetQuery &query,
                        Instant now) const;
    [[nodiscard]] static bool knowsObject(const PooledTarget &target, const TargetQuery &query,
                                          Instant now);
    [[nodiscard]] PlacementRequest placementRequest(const TargetQuery &query,
                                                    Duration timeLeft) const;
    [[nodiscard]] ServiceTimeEstimate serviceTimesFor(const TargetQuery &query) const;
    void recordServiceTime(const TargetChoice &choice, Instant sentAt, Instant now);
    [[nodiscard]] std::optional<double> coldRateLimitOf(const PooledTarget &target,
                                                        Instant now) const;
    [[nodiscard]] static double coldTokens(const PooledTarget &target, double rate, Instant now);
    [[nodiscard]] bool tryAcquireColdToken(PooledTarget &target, Instant now);
    //! Extends a cold period. @param end Member of the target that holds the end for this reason.
    void extendColdPeriod(PooledTarget &target, Instant PooledTarget::*end, Duration coldDuration,
                          const char *source, Duration age, Instant now);
    [[nodiscard]] Duration coldStartOf(const PooledTarget &target) const;
    void notifyObserver(const PooledTarget &target, TargetStatus status, const char *source,
                        Duration age = Duration(0), Duration statusDuration = Duration(0)) const;
    void observeHealth(PooledTarget &target, TargetOutcome outcome, Instant sentAt, Instant now);
    void removeMissing(const std::map<std::string, PooledTargetRef> &listed, Duration age) const;

    Topology m_topology;
    std::function<void(const TargetStatusChange &)> m_onChange = [](const TargetStatusChange &) {};
    std::map<ServiceName, Candidates> m_services;
    std::map<std::string, PooledTargetRef> m_byInstance;
    std::map<ServiceName, ServicePolicy> m_policies;
    std::map<ServiceName, ServiceTimeEstimate> m_serviceTimes;
    std::set<FailureDomainName> m_evacuated;
    DepartedTargets m_departed;
    std::set<std::string> m_pendingReports; //!< Instances to include in the next state reports.
    std::set<std::string> m_pendingRateLimits; //!< Instances of which a rate limit may be reported.
    std::size_t m_entryHosts = 1;
    bool m_hasList = false;
};

} // namespace ggv
