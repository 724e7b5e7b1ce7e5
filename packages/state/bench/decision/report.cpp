#include "report.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <string_view>

namespace ggv::bench {

namespace {

//! One reported value: table heading, JSON key, accessor and decimal places in the table.
struct Column
{
    using Value = double (*)(const RunResults &results);

    std::string_view heading;
    std::string_view key;
    Value value = nullptr;
    int decimals = 0;
};

constexpr std::array Columns {
    Column { "p50 ms", "p50Ms", [](const RunResults &it) { return it.latency[0].p50; }, 1 },
    Column { "p99 ms", "p99Ms", [](const RunResults &it) { return it.latency[0].p99; }, 1 },
    Column { "p99.9 ms", "p999Ms", [](const RunResults &it) { return it.latency[0].p999; }, 1 },
    Column { "2nd p99 ms", "secondP99Ms", [](const RunResults &it) { return it.latency[1].p99; },
             1 },
    Column { "shed %", "shedPercent", [](const RunResults &it) { return it.outcomePercent[1]; },
             2 },
    Column { "bound %", "unavoidablePercent",
             [](const RunResults &it) { return it.unavoidablePercent; }, 2 },
    Column { "failed %", "failedPercent", [](const RunResults &it) { return it.outcomePercent[2]; },
             2 },
    Column { "late %", "latePercent", [](const RunResults &it) { return it.outcomePercent[3]; },
             2 },
    Column { "lost %", "lostPercent", [](const RunResults &it) { return it.outcomePercent[4]; },
             2 },
    Column { "link %", "peakLinkPercent", [](const RunResults &it) { return it.peakLinkPercent; },
             0 },
    Column { "region %", "peakRegionPercent",
             [](const RunResults &it) { return it.peakRegionPercent; }, 0 },
    Column { "shift %", "peakShiftPercent",
             [](const RunResults &it) { return it.peakShiftPercent; }, 0 },
    Column { "cap viol.", "capViolations",
             [](const RunResults &it) { return static_cast<double>(it.capViolations); }, 0 },
    Column { "slot overl.", "slotOverloads",
             [](const RunResults &it) { return static_cast<double>(it.slotOverloads); }, 0 },
    Column { "link overl.", "linkOverloads",
             [](const RunResults &it) { return static_cast<double>(it.linkOverloads); }, 0 },
    Column { "last new s", "lastNewWorkSeconds",
             [](const RunResults &it) { return it.lastSendToDrained; }, 2 },
    Column { "last req. s", "lastRequestSeconds",
             [](const RunResults &it) { return it.lastFinishAtDrained; }, 2 },
    Column { "recovery s", "recoverySeconds",
             [](const RunResults &it) { return it.recoverySeconds; }, 0 },
    Column { "attempts", "attemptsPerRequest",
             [](const RunResults &it) { return it.attemptsPerRequest; }, 2 },
};

} // namespace

void writeTable(std::ostream &out, const std::vector<ReportRow> &rows)
{
    out << "| deployment | scenario | policy |";
    for (const auto &it : Columns)
        out << ' ' << it.heading << " |";
    out << "\n|---|---|---|";
    for (std::size_t n = 0; n < Columns.size(); ++n)
        out << "---:|";
    out << '\n' << std::fixed;
    for (const auto &row : rows) {
        out << "| " << row.deployment << " | " << row.scenario << " | " << row.policy << " |";
        for (const auto &it : Columns)
            out << ' ' << std::setprecision(it.decimals) << it.value(row.results) << " |";
        out << '\n';
    }
}

void writeJson(std::ostream &out, const std::vector<ReportRow> &rows)
{
    auto list = nlohmann::json::array();
    for (const auto &row : rows) {
        nlohmann::json item { { "deployment", row.deployment },
                              { "scenario", row.scenario },
                              { "policy", row.policy },
                              { "requests", row.results.requests } };
        for (const auto &it : Columns)
            item[std::string(it.key)] = it.value(row.results);
        list.push_back(std::move(item));
    }
    out << list.dump(2) << '\n';
}

} // namespace ggv::bench
