#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/storage/disk.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace ggv {

//! Command replicated by the control quorum: a single change to the register.
struct ChangeCommand
{
    ChangeId id;
    std::string operatorName;
    RegisterVersion expected = 0; //!< Register version that the change is based on.
    std::uint64_t digest = 0; //!< Digest of the operator's input; a mismatch for an id is rejected.
    Bytes delta; //!< Encoded RegisterDelta against `expected`; empty if that version is outdated.

    [[nodiscard]] auto operator<=>(const ChangeCommand &) const = default;
};

//! Answer to a change; a resent change receives the same answer.
struct ChangeAnswer
{
    ResultCode code = ResultCode::Ok;
    RegisterVersion version = 0; //!< New register version if accepted, otherwise the current one.
    std::string message;

    [[nodiscard]] auto operator<=>(const ChangeAnswer &) const = default;
};

} // namespace ggv
