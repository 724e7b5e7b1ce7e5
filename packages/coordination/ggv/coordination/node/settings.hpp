#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/model/entities.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! An operator and the digest of the token that proves it.
struct OperatorAccount
{
    std::string name;
    std::string tokenSha256; //!< Lower-case hexadecimal.

    [[nodiscard]] auto operator<=>(const OperatorAccount &) const = default;
};

//! What a process learns from its settings file.
struct Settings
{
    HostName host;
    FailureDomainName domain;
    Endpoint callers;
    Endpoint operators;
    Endpoint internal;
    std::string dataFolder; //!< Empty: the host has no disk.
    std::uint32_t threads = 2; //!< Loops that serve callers.
    std::string secret; //!< Shared by all hosts of the system.
    std::string bootstrapRegister; //!< Path of the register that a new cluster starts with.
    std::vector<OperatorAccount> operatorAccounts;
    std::string traceFile; //!< Finished spans as JSON lines; empty: no spans are written.

    [[nodiscard]] auto operator<=>(const Settings &) const = default;
};

/**
 * @brief Reads settings from TOML; unknown keys and missing values are errors.
 * @param text The file.
 * @return The settings, or SettingsInvalid with every fault, one a line.
 */
[[nodiscard]] Result<Settings> parseSettings(std::string_view text);

/**
 * @brief Reads a settings file.
 * @param path The file.
 * @return The settings, or SettingsInvalid.
 */
[[nodiscard]] Result<Settings> loadSettings(const std::string &path);

/**
 * @brief Reads a whole text file.
 * @param path The file.
 * @return Its content.
 * @throws Error SettingsInvalid if it cannot be read.
 */
[[nodiscard]] std::string readTextFile(const std::string &path);

} // namespace ggv
