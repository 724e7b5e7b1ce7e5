#include "measurements.hpp"

#include <algorithm>

namespace ggv::bench {

namespace {

constexpr Duration OneSecond = std::chrono::seconds(1);
constexpr double RecoveredServedShare = 0.99;

std::size_t secondOf(Instant at)
{
    return static_cast<std::size_t>(at.time_since_epoch() / OneSecond);
}

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double toPercent(double part, double total) { return total > 0.0 ? 100.0 * part / total : 0.0; }

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0.0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

bool isMeasured(Instant at) { return at >= WarmUpEnd && at < RunEnd; }

} // namespace

Measurements::Measurements(const Deployment &deployment, const Scenario &scenario)
    : m_deployment(deployment)
    , m_scenario(scenario)
{ }

void Measurements::onCreated(Instant at)
{
    m_created += isMeasured(at) ? 1 : 0;
    m_createdSinceFault += at >= FaultStart && at < RunEnd ? 1 : 0;
}

void Measurements::onAttempt(Instant at)
{
    m_attemptsSinceFault += at >= FaultStart && at < RunEnd ? 1 : 0;
}

void Measurements::onAttemptFinished(RequestOutcome outcome, Instant at)
{
    const auto second = secondOf(at);
    if (second >= Seconds)
        return;
    m_endedAttempts[second] += 1.0;
    m_servedAttempts[second] += outcome == RequestOutcome::Served ? 1.0 : 0.0;
}

void Measurements::onRequestFinished(std::size_t service, RequestOutcome outcome, Instant createdAt,
                                     Instant at)
{
    if (!isMeasured(createdAt))
        return;
    ++m_outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == RequestOutcome::Served)
        m_latencies[service].push_back(toSeconds(at - createdAt) * 1e3);
}

void Measurements::onLinkBytes(std::size_t from, std::size_t to, double bytes, Instant at)
{
    if (secondOf(at) < Seconds)
        m_linkBytes[from][to][secondOf(at)] += bytes;
}

void Measurements::onShift(std::size_t service, std::size_t from, std::size_t to, Instant at)
{
    auto &recent = m_shifts[service][from][to];
    while (!recent.empty() && at - recent.front() >= OneSecond)
        recent.pop_front();
    recent.push_back(at);
    const auto count = static_cast<double>(recent.size());
    const double cap = m_deployment.services[service].shiftCap;
    m_peakShift = std::max(m_peakShift, count / cap);
    m_capViolations += count > cap ? 1 : 0;
}

void Measurements::onSlotOverload(Instant at) { m_slotOverloads += isMeasured(at) ? 1 : 0; }

void Measurements::onRegionUse(std::size_t region, double use, Instant at)
{
    if (secondOf(at) >= Seconds)
        return;
    m_regionUse[region][secondOf(at)] += use;
    m_regionSamples[region][secondOf(at)] += 1.0;
}

void Measurements::onSentToTarget(std::size_t domain, Instant at)
{
    if (!isDrained(domain) || at < FaultStart)
        return;
    m_lastSendToDrained = std::max(m_lastSendToDrained, at);
    m_lateSendsToDrained += toUnixMillis(at) >= m_scenario.drain->emptyAt ? 1 : 0;
}

void Measurements::onTargetFinished(std::size_t domain, Instant at)
{
    if (isDrained(domain) && at >= FaultStart)
        m_lastFinishAtDrained = std::max(m_lastFinishAtDrained, at);
}

RunResults Measurements::results() const
{
    RunResults results;
    for (std::size_t n = 0; n < ServiceCount; ++n)
        results.latency[n] = latencyOf(n);
    results.requests = m_created;
    for (std::size_t n = 0; n < RequestOutcomeCount; ++n)
        results.outcomePercent[n]
            = toPercent(static_cast<double>(m_outcomes[n]), static_cast<double>(m_created));
    results.unavoidablePercent = 100.0 * unavoidableShed(m_deployment, m_scenario);
    fillLinks(results);
    for (std::size_t region = 0; region < RegionCount; ++region) {
        for (auto n = secondOf(WarmUpEnd); n < secondOf(RunEnd); ++n) {
            const double samples = std::max(1.0, m_regionSamples[region][n]);
            const double use = toPercent(m_regionUse[region][n], samples);
            results.peakRegionPercent = std::max(results.peakRegionPercent, use);
        }
    }
    results.peakShiftPercent = 100.0 * m_peakShift;
    results.capViolations = m_capViolations;
    results.slotOverloads = m_slotOverloads;
    if (m_scenario.drain) {
        results.lastSendToDrained = toSeconds(m_lastSendToDrained - FaultStart);
        results.lastFinishAtDrained = toSeconds(m_lastFinishAtDrained - FaultStart);
    }
    results.lateSendsToDrained = static_cast<double>(m_lateSendsToDrained);
    results.recoverySeconds = recoverySeconds();
    results.attemptsPerRequest = static_cast<double>(m_attemptsSinceFault)
        / std::max(1.0, static_cast<double>(m_createdSinceFault));
    return results;
}

bool Measurements::isDrained(std::size_t domain) const
{
    return m_scenario.drainedRegion && regionOf(domain) == *m_scenario.drainedRegion;
}

double Measurements::recoverySeconds() const
{
    const auto end = secondOf(m_scenario.slowEnd);
    auto second = secondOf(RunEnd);
    while (second > end) {
        const double ended = m_endedAttempts[second - 1];
        if (m_servedAttempts[second - 1] < RecoveredServedShare * ended)
            break;
        --second;
    }
    return static_cast<double>(second - end);
}

RunResults::Latency Measurements::latencyOf(std::size_t service) const
{
    auto sorted = m_latencies[service];
    std::ranges::sort(sorted);
    return { percentile(sorted, 0.5), percentile(sorted, 0.99), percentile(sorted, 0.999) };
}

void Measurements::fillLinks(RunResults &results) const
{
    const double capacity = m_deployment.linkBitsPerSecond / 8.0;
    for (const auto &row : m_linkBytes) {
        for (const auto &link : row) {
            for (const double bytes : link) {
                const double use = toPercent(bytes, capacity);
                results.peakLinkPercent = std::max(results.peakLinkPercent, use);
                results.linkOverloads += use > 100.0 ? 1 : 0;
            }
        }
    }
}

} // namespace ggv::bench
