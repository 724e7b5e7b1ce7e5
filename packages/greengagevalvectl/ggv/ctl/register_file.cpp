#include <ggv/ctl/register_file.hpp>

#include <ggv/ctl/text_file.hpp>

namespace ggv {

RegisterFile RegisterFile::read(const std::string &path)
{
    RegisterFile file;
    file.path = path;
    file.text = readTextFile(path).value();
    file.document = parseRegisterToml(file.text);
    return file;
}

void printFaults(std::ostream &out, const std::string &path,
                 const std::vector<RegisterFault> &faults)
{
    for (const auto &fault : faults)
        out << path << ":" << fault.line << ":" << fault.column << ": " << fault.message << "\n";
}

nlohmann::json faultsReport(const std::string &path, const std::vector<RegisterFault> &faults)
{
    auto list = nlohmann::json::array();
    for (const auto &fault : faults)
        list.push_back(
            { { "line", fault.line }, { "column", fault.column }, { "message", fault.message } });
    return { { "file", path }, { "faults", std::move(list) } };
}

} // namespace ggv
