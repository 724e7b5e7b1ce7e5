#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/quarantine/request_fingerprint.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace ggv {

/**
 * @brief Finds the request that crashes targets among the requests that were lost together.
 *
 * A target that crashes loses all requests that it holds. The culprit is the request that was lost
 * in several crashes and that no other lost request explains as well. Performs no I/O; callers
 * supply the time.
 */
class CrashEvidence
{
public:
    //! Crashes that only this request explains, after which it is the culprit.
    static constexpr std::size_t MinCrashes = 3;
    //! Time after which a crash counts, so that other hosts' lost requests are known, too.
    static constexpr Duration SettleTime = std::chrono::seconds(1);
    //! Reports of the same target within this time are of the same crash.
    static constexpr Duration MergeTime = std::chrono::seconds(1);
    //! Crashes are forgotten after this time.
    static constexpr Duration Lifetime = std::chrono::minutes(5);
    //! Crashes that are remembered; the oldest is forgotten first.
    static constexpr std::size_t MaxCrashes = 512;
    //! Lost requests that are remembered for one crash; further ones are not.
    static constexpr std::size_t MaxRequestsPerCrash = 256;

    /**
     * @brief Records that a request was lost when a target crashed.
     * @param request The request.
     * @param instance The target.
     * @param crashedAt Time of the crash.
     * @param now Current time.
     */
    void recordCrash(RequestFingerprint request, const std::string &instance, Instant crashedAt,
                     Instant now);
    //! Records that a target survived the request at the given time: earlier crashes were not its
    //! fault.
    void recordAnswer(RequestFingerprint request, Instant answeredAt);

    //! @return True if the request was lost in a crash that is remembered.
    [[nodiscard]] bool contains(RequestFingerprint request) const;
    //! @return True if no crash is remembered.
    [[nodiscard]] bool isEmpty() const noexcept { return m_counts.empty(); }
    //! @return True if the request has crashed MinCrashes targets.
    [[nodiscard]] bool isCulprit(RequestFingerprint request, Instant now) const;
    //! Forgets crashes that are older than Lifetime.
    void expire(Instant now);

private:
    struct Crash
    {
        std::string instance;
        Instant crashedAt;
        Instant recordedAt; //!< First report of it.
        std::set<RequestFingerprint> requests;
    };

    [[nodiscard]] Crash &crashOf(const std::string &instance, Instant crashedAt, Instant now);
    [[nodiscard]] bool isExplainedByOther(const Crash &crash, RequestFingerprint request) const;
    [[nodiscard]] std::size_t countOf(RequestFingerprint request) const;
    void decrementCount(RequestFingerprint request);
    void forgetOldest();

    std::deque<Crash> m_crashes; //!< In the order of their first reports.
    std::map<RequestFingerprint, std::size_t> m_counts; //!< Crashes by lost request.
};

} // namespace ggv
