#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! Progress of a register version on each host.
class Rollout
{
public:
    /**
     * @brief Reads the progress from a host's status.
     * @param status Response body of /v1/status.
     * @param version The version to wait for.
     * @return The progress, or ProtocolViolation if the response is not a status.
     */
    [[nodiscard]] static Result<Rollout> fromStatus(const nlohmann::json &status,
                                                    RegisterVersion version);

    //! @return Progress of each host: "in force", "pending" or "unreachable".
    [[nodiscard]] const std::map<std::string, std::string> &hosts() const noexcept
    {
        return m_hosts;
    }
    //! @return True if the version is accepted and in force on all reachable hosts (at least one).
    [[nodiscard]] bool isComplete() const noexcept;

private:
    bool m_accepted = false;
    std::map<std::string, std::string> m_hosts;
};

} // namespace ggv
