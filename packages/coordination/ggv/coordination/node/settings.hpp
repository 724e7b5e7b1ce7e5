#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/model/entities.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Name of an operator and the digest of the token that authenticates it.
struct OperatorAccount
{
    std::string name;
    std::string tokenSha256; //!< Lower-case hexadecimal.

    [[nodiscard]] auto operator<=>(const OperatorAccount &) const = default;
};

//! Settings of a process, read from its settings file.
struct Settings
{
    HostName host;
    FailureDomainName domain;
    Endpoint callers;
    Endpoint operators;
    Endpoint internal;
    std::string dataFolder; //!< Empty if the host has no disk.
    std::uint32_t threads = 2; //!< Number of event loops that serve callers.
    std::string secret; //!< Shared by all hosts of the system.
    std::string bootstrapRegister; //!< Path of the register that a new cluster starts with.
    std::vector<OperatorAccount> operatorAccounts;
    std::string traceFile; //!< File for finished spans as JSON lines; empty to disable.

    [[nodiscard]] auto operator<=>(const Settings &) const = default;
};

/**
 * @brief Parses settings from TOML; unknown keys and missing values are errors.
 * @param text Content of the settings file.
 * @return The settings, or SettingsInvalid with all errors, one per line.
 */
[[nodiscard]] Result<Settings> parseSettings(std::string_view text);

/**
 * @brief Reads a settings file.
 * @param path Path of the file.
 * @return The settings, or SettingsInvalid.
 */
[[nodiscard]] Result<Settings> loadSettings(const std::string &path);

/**
 * @brief Reads a text file.
 * @param path Path of the file.
 * @return The content of the file.
 * @throws Error SettingsInvalid if it cannot be read.
 */
[[nodiscard]] std::string readTextFile(const std::string &path);

} // namespace ggv
