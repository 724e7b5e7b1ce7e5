#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/storage/disk.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace ggv {

//! Command of the control quorum: one change of the register.
struct ChangeCommand
{
    ChangeId id;
    std::string operatorName;
    RegisterVersion expected = 0; //!< Version that the operator based the change on.
    std::uint64_t digest
        = 0; //!< Of what the operator sent; the same id with another one is refused.
    Bytes delta; //!< Encoded RegisterDelta from the expected version; empty if it has passed.

    [[nodiscard]] auto operator<=>(const ChangeCommand &) const = default;
};

//! First and every later answer to a change.
struct ChangeAnswer
{
    ResultCode code = ResultCode::Ok;
    RegisterVersion version = 0; //!< Accepted: of the new register; else the current one.
    std::string message;

    [[nodiscard]] auto operator<=>(const ChangeAnswer &) const = default;
};

} // namespace ggv
