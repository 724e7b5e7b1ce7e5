#include "report.hpp"
#include "simulation.hpp"

#include <popt.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace ggv::bench;

//! Command-line options; a null filter matches all names.
struct Options
{
    int isJson = 0;
    long seed = 20261203;
    const char *deployment = nullptr;
    const char *scenario = nullptr;
    const char *policy = nullptr;
};

bool matches(const char *filter, const std::string &name)
{
    return filter == nullptr || name == filter;
}

bool parseOptions(int argc, const char **argv, Options &options)
{
    const poptOption table[]
        = { { "json", 0, POPT_ARG_NONE, &options.isJson, 0,
              "Write JSON instead of a Markdown table", nullptr },
            { "seed", 0, POPT_ARG_LONG, &options.seed, 0, "Seed of the random number generators",
              "NUMBER" },
            { "deployment", 0, POPT_ARG_STRING, &options.deployment, 0, "Run only this deployment",
              "NAME" },
            { "scenario", 0, POPT_ARG_STRING, &options.scenario, 0, "Run only this scenario",
              "NAME" },
            { "policy", 0, POPT_ARG_STRING, &options.policy, 0, "Run only this policy", "NAME" },
            POPT_AUTOHELP POPT_TABLEEND };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("ggv_decision_bench", argc, argv, table, 0), &poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1)
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(code) << '\n';
    return code == -1;
}

std::vector<ReportRow> runAll(const Options &options)
{
    std::vector<ReportRow> rows;
    for (const auto &deployment : deployments()) {
        for (const auto &scenario : scenarios()) {
            for (const auto &policy : policies()) {
                if (!matches(options.deployment, deployment.name)
                    || !matches(options.scenario, scenario.name)
                    || !matches(options.policy, policy.name))
                    continue;
                const auto seed = static_cast<std::uint64_t>(options.seed);
                rows.push_back({ deployment.name, scenario.name, policy.name,
                                 simulate(deployment, scenario, policy, seed) });
            }
        }
    }
    return rows;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    if (!parseOptions(argc, argv, options))
        return 2;
    const auto rows = runAll(options);
    if (options.isJson != 0)
        writeJson(std::cout, rows);
    else
        writeTable(std::cout, rows);
    return 0;
}
