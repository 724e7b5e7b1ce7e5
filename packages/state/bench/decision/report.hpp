#pragma once

#include "measurements.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace ggv::bench {

//! Results of one run with its deployment, scenario and policy.
struct ReportRow
{
    std::string deployment;
    std::string scenario;
    std::string policy;
    RunResults results;
};

//! Writes a Markdown table with one row per run.
void writeTable(std::ostream &out, const std::vector<ReportRow> &rows);

//! Writes a JSON array with one object per run.
void writeJson(std::ostream &out, const std::vector<ReportRow> &rows);

} // namespace ggv::bench
