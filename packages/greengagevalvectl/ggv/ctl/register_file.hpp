#pragma once

#include <ggv/state/model/register_toml.hpp>

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! A register file with its parsed document and validation errors.
struct RegisterFile
{
    std::string path;
    std::string text;
    RegisterDocument document;

    /**
     * @brief Reads and parses a register file.
     * @param path Path of the file.
     * @return The parsed file; its document holds any validation errors.
     * @throws Error SettingsInvalid if the file cannot be read.
     */
    [[nodiscard]] static RegisterFile read(const std::string &path);
};

/**
 * @brief Prints validation errors as FILE:line:column: message, one per line.
 * @param out Output stream.
 * @param path Name of the file.
 * @param faults The validation errors.
 */
void printFaults(std::ostream &out, const std::string &path,
                 const std::vector<RegisterFault> &faults);

//! @return Validation errors of a file as JSON.
[[nodiscard]] nlohmann::json faultsReport(const std::string &path,
                                          const std::vector<RegisterFault> &faults);

} // namespace ggv
