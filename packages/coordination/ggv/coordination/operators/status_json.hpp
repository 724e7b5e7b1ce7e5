#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/protocol/message/change_message.hpp>
#include <ggv/state/model/register_toml.hpp>

#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace ggv {

//! @return Status of a host; hosts of the register are listed if there is one in force.
[[nodiscard]] nlohmann::json statusJson(const ControlReport &report, const Register *content);
//! @return Faults of a register file.
[[nodiscard]] nlohmann::json faultsJson(const std::vector<RegisterFault> &faults);
//! @return Answer to a change.
[[nodiscard]] nlohmann::json changeJson(const ChangeAnswer &answer);
//! @return What decides where a request of a service goes.
[[nodiscard]] nlohmann::json explainJson(const ServiceRoute &service);

} // namespace ggv
