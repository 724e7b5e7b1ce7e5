#include <ggv/ctl/command.hpp>

namespace ggv {

const std::vector<CommandEntry> &commandTable()
{
    static const std::vector<CommandEntry> table {
        { "check",
          { "FILE" },
          {},
          "Validate a register file offline and print all errors",
          runCheck },
        { "show", {}, {}, "Print the register in force", runShow },
        { "diff",
          { "FILE" },
          {},
          "Print the changes that applying a register file would make",
          runDiff },
        { "apply",
          { "FILE" },
          { Option::Expected, Option::Change },
          "Apply a register file; requires --expected",
          runApply },
        { "watch",
          {},
          { Option::Version, Option::Timeout },
          "Wait until a version is in force on all reachable hosts",
          runWatch },
        { "drain",
          { "target|failure-domain|region", "NAME" },
          { Option::At, Option::Over },
          "Schedule a drain, or replace the existing one",
          runDrain },
        { "undrain", { "target|failure-domain|region", "NAME" }, {}, "Remove a drain", runUndrain },
        { "explain",
          { "SERVICE" },
          { Option::Client },
          "Print the routing inputs of a service's targets",
          runExplain },
        { "explain-request",
          { "ID", "LOG" },
          {},
          "Print the log events of a request and the cause of its outcome",
          runExplainRequest,
          true },
        { "status", {}, {}, "Print the status of a host", runStatus },
    };
    return table;
}

} // namespace ggv
