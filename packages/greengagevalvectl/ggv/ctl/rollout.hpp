#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! How far a version has come, host by host.
class Rollout
{
public:
    /**
     * @brief Reads the status of a host.
     * @param status Answer to /v1/status.
     * @param version The version that is waited for.
     * @return The progress, or ProtocolViolation if the answer is not a status.
     */
    [[nodiscard]] static Result<Rollout> fromStatus(const nlohmann::json &status,
                                                    RegisterVersion version);

    //! @return "in force", "pending" or "unreachable" for each host.
    [[nodiscard]] const std::map<std::string, std::string> &hosts() const noexcept
    {
        return m_hosts;
    }
    //! @return True once every reachable host has the version in force.
    [[nodiscard]] bool complete() const noexcept;

private:
    bool m_accepted = false;
    std::map<std::string, std::string> m_hosts;
};

} // namespace ggv
