#include <ggv/ctl/command.hpp>

namespace ggv {

const std::vector<CommandEntry> &commandTable()
{
    static const std::vector<CommandEntry> table {
        { "check", { "FILE" }, {}, "Report every fault of a register file, offline", runCheck },
        { "show", {}, {}, "Write the register in force", runShow },
        { "diff", { "FILE" }, {}, "Write what applying a register file would change", runDiff },
        { "apply",
          { "FILE" },
          { Option::Expected, Option::Change },
          "Apply a register file; --expected is needed",
          runApply },
        { "watch",
          {},
          { Option::Version, Option::Timeout },
          "Wait until all reachable hosts have a version in force",
          runWatch },
        { "drain",
          { "target|failure-domain|region", "NAME" },
          { Option::At, Option::Over },
          "Plan a drain, or replace the planned one",
          runDrain },
        { "undrain", { "target|failure-domain|region", "NAME" }, {}, "Remove a drain", runUndrain },
        { "explain",
          { "SERVICE" },
          { Option::Client },
          "Write what decides where requests of a service go",
          runExplain },
        { "explain-request",
          { "ID", "LOG" },
          {},
          "Write what the logs of processes say of a request, and why it ended as it did",
          runExplainRequest,
          true },
        { "status", {}, {}, "Write the status of a host", runStatus },
    };
    return table;
}

} // namespace ggv
