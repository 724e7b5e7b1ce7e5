#include <ggv/state/quarantine/request_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

// Names of the evidence for a change.
constexpr const char *CrashSource = "crashes";
constexpr const char *AnswerSource = "answer";
constexpr const char *SharedSource = "other-entry-host";
//! Reports waiting to be sent; further ones are dropped.
constexpr std::size_t MaxPendingReports = 1024;
//! Answers that are remembered; the oldest is forgotten first.
constexpr std::size_t MaxAnswers = 1024;
//! The time of a quarantine's begin is known with this precision only.
constexpr Duration TimePrecision = std::chrono::seconds(1);

} // namespace

RequestQuarantine::RequestQuarantine(std::uint64_t seed)
    : m_seed(seed)
{ }

void RequestQuarantine::setObserver(std::function<void(const QuarantineChange &)> onChange)
{
    m_onChange = std::move(onChange);
}

void RequestQuarantine::observeCrash(const std::string &instance,
                                     const std::vector<RequestFingerprint> &requests,
                                     Instant crashedAt, Instant now)
{
    for (const auto &it : requests) {
        m_evidence.recordCrash(it, instance, crashedAt, now);
        if (m_pending.size() < MaxPendingReports)
            m_pending.push_back({ RequestReportKind::Crash, it, instance, now - crashedAt, {} });
    }
}

void RequestQuarantine::observeAnswer(RequestFingerprint request, Instant now)
{
    if (!m_evidence.contains(request) && !m_quarantined.contains(request))
        return;
    applyAnswer(request, now, AnswerSource);
    if (m_pending.size() < MaxPendingReports)
        m_pending.push_back({ RequestReportKind::Answer, request, "", Duration(0), {} });
}

void RequestQuarantine::applyAnswer(RequestFingerprint request, Instant answeredAt,
                                    const char *source)
{
    m_evidence.recordAnswer(request, answeredAt);
    auto &known = m_answeredAt[request];
    known = std::max(known, answeredAt);
    if (m_answeredAt.size() > MaxAnswers)
        m_answeredAt.erase(std::min_element(
            m_answeredAt.begin(), m_answeredAt.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; }));
    if (m_quarantined.erase(request) > 0)
        m_onChange({ request, false, source, Duration(0) });
}

bool RequestQuarantine::isActive() const noexcept
{
    return !m_evidence.isEmpty() || !m_quarantined.empty();
}

std::optional<Duration> RequestQuarantine::remaining(RequestFingerprint request, Instant now)
{
    if (m_evidence.isCulprit(request, now) && !m_quarantined.contains(request))
        quarantine(request, now + QuarantineTime, CrashSource, now);
    const auto it = m_quarantined.find(request);
    if (it == m_quarantined.end() || it->second.until <= now)
        return std::nullopt;
    return it->second.until - now;
}

std::size_t RequestQuarantine::size(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_quarantined.begin(), m_quarantined.end(),
                      [now](const auto &it) { return it.second.until > now; }));
}

void RequestQuarantine::quarantine(RequestFingerprint request, Instant until, const char *source,
                                   Instant now)
{
    if (m_quarantined.size() >= MaxQuarantined)
        m_quarantined.erase(std::min_element(m_quarantined.begin(), m_quarantined.end(),
                                             [](const auto &one, const auto &other) {
                                                 return one.second.until < other.second.until;
                                             }));
    // Not yet shared: the next takeReports() includes it.
    m_quarantined[request] = { until, Instant::min() };
    m_onChange({ request, true, source, until - now });
}

Duration RequestQuarantine::repeatDelay(RequestFingerprint request) const noexcept
{
    const auto spread = static_cast<std::uint64_t>(RepeatInterval.count() / 2);
    const auto offset = (request.digest() ^ m_seed) % spread;
    return RepeatInterval + Duration(static_cast<Duration::rep>(offset));
}

std::vector<RequestReport> RequestQuarantine::takeReports(Instant now)
{
    expire(now);
    auto reports = std::exchange(m_pending, {});
    for (auto &[request, it] : m_quarantined) {
        if (it.sharedAt != Instant::min() && now - it.sharedAt < repeatDelay(request))
            continue;
        it.sharedAt = now;
        reports.push_back(
            { RequestReportKind::Quarantine, request, "", Duration(0), it.until - now });
    }
    return reports;
}

void RequestQuarantine::apply(const std::vector<RequestReport> &reports, Instant now)
{
    for (const auto &it : reports) {
        switch (it.kind) {
        case RequestReportKind::Crash:
            m_evidence.recordCrash(it.request, it.instance, now - it.age, now);
            break;
        case RequestReportKind::Answer:
            applyAnswer(it.request, now - it.age, SharedSource);
            break;
        case RequestReportKind::Quarantine:
            applyQuarantine(it, now);
            break;
        }
    }
}

void RequestQuarantine::applyQuarantine(const RequestReport &report, Instant now)
{
    const Duration lasts = std::clamp(report.remaining, Duration(0), QuarantineTime);
    const Instant begin = now + lasts - QuarantineTime;
    const auto answered = m_answeredAt.find(report.request);
    if (answered != m_answeredAt.end() && answered->second + TimePrecision >= begin) {
        // The reporting host missed the answer.
        if (m_pending.size() < MaxPendingReports)
            m_pending.push_back({ RequestReportKind::Answer, report.request, "", Duration(0), {} });
        return;
    }
    const auto known = m_quarantined.find(report.request);
    if (known == m_quarantined.end())
        quarantine(report.request, now + lasts, SharedSource, now);
    m_quarantined[report.request].sharedAt = now;
}

void RequestQuarantine::expire(Instant now)
{
    m_evidence.expire(now);
    std::erase_if(m_quarantined, [now](const auto &it) { return it.second.until <= now; });
    std::erase_if(m_answeredAt, [now](const auto &it) { return now - it.second > QuarantineTime; });
}

} // namespace ggv
