#pragma once

#include <ggv/state/model/register_toml.hpp>

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! A register file and what was found in it.
struct RegisterFile
{
    std::string path;
    std::string text;
    RegisterDocument document;

    /**
     * @brief Reads a file.
     * @param path The file.
     * @return The file with its faults.
     * @throws Error SettingsInvalid if it cannot be read.
     */
    [[nodiscard]] static RegisterFile read(const std::string &path);
};

/**
 * @brief Writes faults as FILE:line:column: message, one a line.
 * @param out Where to.
 * @param path Name of the file.
 * @param faults The faults.
 */
void printFaults(std::ostream &out, const std::string &path,
                 const std::vector<RegisterFault> &faults);

//! @return Faults of a file as JSON.
[[nodiscard]] nlohmann::json faultsReport(const std::string &path,
                                          const std::vector<RegisterFault> &faults);

} // namespace ggv
