#include <ggv/coordination/version.hpp>
#include <ggv/ctl/command_line.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(
        ggv::runCommandLine(words, std::string(ggv::softwareVersion()), std::cout, std::cerr));
}
