#pragma once

#include <ggv/state/quarantine/crash_evidence.hpp>
#include <ggv/state/quarantine/request_report.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

//! Begin or end of a request's quarantine at one entry host.
struct QuarantineChange
{
    RequestFingerprint request;
    bool isQuarantined = false;
    const char *source = ""; //!< Name of the evidence.
    Duration remaining { 0 }; //!< Time until the quarantine ends; 0 if it was lifted.
};

/**
 * @brief Requests that crashed several targets and are refused by all entry hosts.
 *
 * Hosts exchange reports about lost and answered requests, so that each of them finds the same
 * culprits, and repeat quarantines, so that hosts that start later know them. Performs no I/O;
 * callers supply the time. Not thread-safe.
 */
class RequestQuarantine
{
public:
    //! Time for which a request is refused.
    static constexpr Duration QuarantineTime = std::chrono::minutes(10);
    //! A quarantine is repeated to other hosts if none was received for this long, and up to half
    //! as long again, so that not all hosts repeat it at once.
    static constexpr Duration RepeatInterval = std::chrono::seconds(1);
    //! Requests in quarantine; the one that ends first makes room for another.
    static constexpr std::size_t MaxQuarantined = 1024;

    //! @param seed Differs between hosts; spreads the repetition of quarantines.
    explicit RequestQuarantine(std::uint64_t seed);

    //! Sets the function that is called for each change.
    void setObserver(std::function<void(const QuarantineChange &)> onChange);
    //! Records that requests of this host were lost when a target crashed.
    void observeCrash(const std::string &instance, const std::vector<RequestFingerprint> &requests,
                      Instant crashedAt, Instant now);
    //! Records that a target executed a request and survived.
    void observeAnswer(RequestFingerprint request, Instant now);

    //! @return False if no request can be in quarantine, so that fingerprints need not be computed.
    [[nodiscard]] bool isActive() const noexcept;
    //! @return Time until the request's quarantine ends; std::nullopt if it is not in quarantine.
    [[nodiscard]] std::optional<Duration> remaining(RequestFingerprint request, Instant now);
    //! @return Number of requests in quarantine.
    [[nodiscard]] std::size_t size(Instant now) const;

    //! @return Reports for other hosts since the last call.
    [[nodiscard]] std::vector<RequestReport> takeReports(Instant now);
    //! Applies reports of other hosts.
    void apply(const std::vector<RequestReport> &reports, Instant now);

private:
    struct Quarantine
    {
        Instant until;
        Instant sharedAt; //!< Last report of it, by this or another host.
    };

    void quarantine(RequestFingerprint request, Instant until, const char *source, Instant now);
    void applyQuarantine(const RequestReport &report, Instant now);
    void applyAnswer(RequestFingerprint request, Instant answeredAt, const char *source);
    [[nodiscard]] Duration repeatDelay(RequestFingerprint request) const noexcept;
    void expire(Instant now);

    std::uint64_t m_seed;
    std::function<void(const QuarantineChange &)> m_onChange = [](const QuarantineChange &) {};
    CrashEvidence m_evidence;
    std::map<RequestFingerprint, Quarantine> m_quarantined;
    //! Last answer to requests that were suspected or in quarantine.
    std::map<RequestFingerprint, Instant> m_answeredAt;
    std::vector<RequestReport> m_pending;
};

} // namespace ggv
