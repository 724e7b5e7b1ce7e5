#include "report.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <string_view>

namespace ggv::bench {

namespace {

//! A column: its heading, its key in JSON, its value and its decimals.
struct Column
{
    using Value = double (*)(const Figures &figures);

    std::string_view heading;
    std::string_view key;
    Value value = nullptr;
    int decimals = 0;
};

constexpr std::array Columns {
    Column { "p50 ms", "p50Ms", [](const Figures &it) { return it.latency[0].p50; }, 1 },
    Column { "p99 ms", "p99Ms", [](const Figures &it) { return it.latency[0].p99; }, 1 },
    Column { "p99.9 ms", "p999Ms", [](const Figures &it) { return it.latency[0].p999; }, 1 },
    Column { "2nd p99 ms", "secondP99Ms", [](const Figures &it) { return it.latency[1].p99; }, 1 },
    Column { "shed %", "shedPercent", [](const Figures &it) { return it.endingPercent[1]; }, 2 },
    Column { "bound %", "unavoidablePercent",
             [](const Figures &it) { return it.unavoidablePercent; }, 2 },
    Column { "failed %", "failedPercent", [](const Figures &it) { return it.endingPercent[2]; },
             2 },
    Column { "late %", "latePercent", [](const Figures &it) { return it.endingPercent[3]; }, 2 },
    Column { "lost %", "lostPercent", [](const Figures &it) { return it.endingPercent[4]; }, 2 },
    Column { "link %", "peakLinkPercent", [](const Figures &it) { return it.peakLinkPercent; }, 0 },
    Column { "region %", "peakRegionPercent",
             [](const Figures &it) { return it.peakRegionPercent; }, 0 },
    Column { "shift %", "peakShiftPercent", [](const Figures &it) { return it.peakShiftPercent; },
             0 },
    Column { "cap viol.", "capViolations",
             [](const Figures &it) { return static_cast<double>(it.capViolations); }, 0 },
    Column { "slot overl.", "slotOverloads",
             [](const Figures &it) { return static_cast<double>(it.slotOverloads); }, 0 },
    Column { "link overl.", "linkOverloads",
             [](const Figures &it) { return static_cast<double>(it.linkOverloads); }, 0 },
    Column { "last new s", "lastNewWorkSeconds", [](const Figures &it) { return it.lastNewWork; },
             2 },
    Column { "last req. s", "lastRequestSeconds", [](const Figures &it) { return it.lastRequest; },
             2 },
    Column { "recovery s", "recoverySeconds", [](const Figures &it) { return it.recovery; }, 0 },
    Column { "attempts", "attemptsPerRequest", [](const Figures &it) { return it.amplification; },
             2 },
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
            out << ' ' << std::setprecision(it.decimals) << it.value(row.figures) << " |";
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
                              { "requests", row.figures.requests } };
        for (const auto &it : Columns)
            item[std::string(it.key)] = it.value(row.figures);
        list.push_back(std::move(item));
    }
    out << list.dump(2) << '\n';
}

} // namespace ggv::bench
