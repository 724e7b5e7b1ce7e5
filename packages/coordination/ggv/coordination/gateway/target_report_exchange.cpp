#include <ggv/coordination/gateway/target_report_exchange.hpp>

#include <ggv/protocol/codec/target_report_codec.hpp>

#include <set>
#include <string>
#include <utility>

namespace ggv {

namespace {

// Returns the reports of loads and departures. Of a departure that is told with and without its
// start, only the first is returned. Records of other kinds stay, as they name no known instance.
std::vector<TargetStateReport> decodeStateReports(const std::vector<TargetStateReport> &records)
{
    std::vector<TargetStateReport> reports;
    std::set<std::string> departed;
    for (const auto &it : records) {
        if (auto departure = decodeDeparture(it)) {
            departed.insert(departure->instance);
            reports.push_back(std::move(*departure));
        }
    }
    for (const auto &it : records) {
        if (!it.departed || !departed.contains(it.instance))
            reports.push_back(it);
    }
    return reports;
}

} // namespace

std::vector<TargetStateReport> takeTargetReports(TargetPool &targets, RequestQuarantine &quarantine,
                                                 Instant now)
{
    auto records = targets.takeStateReports(now);
    const std::size_t states = records.size();
    for (std::size_t n = 0; n < states; ++n) {
        if (records[n].departed && records[n].startedAt != 0)
            records.push_back(encodeDeparture(records[n]));
    }
    for (const auto &it : targets.takeRateLimitReports(now))
        records.push_back(encodeRateLimitReport(it));
    for (const auto &it : quarantine.takeReports(now))
        records.push_back(encodeRequestReport(it));
    return records;
}

void applyTargetReports(TargetPool &targets, RequestQuarantine &quarantine,
                        const std::vector<TargetStateReport> &records, Instant now)
{
    std::vector<TargetRateLimitReport> limits;
    std::vector<TargetRateLimitShare> shares;
    std::vector<RequestReport> requests;
    for (const auto &it : records) {
        if (const auto limit = decodeRateLimitReport(it))
            limits.push_back(*limit);
        else if (const auto share = decodeRateLimitShare(it))
            shares.push_back(*share);
        else if (auto request = decodeRequestReport(it))
            requests.push_back(std::move(*request));
    }
    targets.applyStateReports(decodeStateReports(records), now);
    targets.applyRateLimitReports(limits, now);
    targets.applyRateLimitShares(shares);
    quarantine.apply(requests, now);
}

} // namespace ggv
