#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/protocol/message/change_message.hpp>
#include <ggv/state/model/register_toml.hpp>

#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace ggv {

//! @return Status of this host; lists the entry hosts if `content` is not null.
[[nodiscard]] nlohmann::json statusJson(const ControlReport &report, const Register *content);
//! @return Response body that lists the errors in a register file.
[[nodiscard]] nlohmann::json faultsJson(const std::vector<RegisterFault> &faults);
//! @return Response body for a register change.
[[nodiscard]] nlohmann::json changeJson(const ChangeAnswer &answer);
//! @return Routing state of the targets of a service, as used to choose a target.
[[nodiscard]] nlohmann::json explainJson(const ServiceRoute &service);

} // namespace ggv
