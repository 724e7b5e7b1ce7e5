#include <ggv/ctl/text_file.hpp>

#include <fstream>
#include <iterator>

namespace ggv {

Result<std::string> readTextFile(const std::string &path)
{
    const Error unreadable(ResultCode::SettingsInvalid, "cannot read file " + path);
    std::ifstream file(path, std::ios::binary);
    // A directory can be opened but not read.
    if (!file || file.peek() == std::ifstream::traits_type::eof()) {
        if (!file.eof())
            return unreadable;
        return std::string();
    }
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (file.bad())
        return unreadable;
    return text;
}

} // namespace ggv
