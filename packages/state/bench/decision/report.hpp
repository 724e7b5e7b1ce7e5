#pragma once

#include "measurements.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace ggv::bench {

//! The figures of one run and what was run.
struct ReportRow
{
    std::string deployment;
    std::string scenario;
    std::string policy;
    Figures figures;
};

//! Writes a Markdown table.
void writeTable(std::ostream &out, const std::vector<ReportRow> &rows);

//! Writes a JSON array with one object per run.
void writeJson(std::ostream &out, const std::vector<ReportRow> &rows);

} // namespace ggv::bench
