#include <ggv/coordination/version.hpp>

#include <iostream>

int main()
{
    std::cout << "greengagevalved " << ggv::softwareVersion() << "\n";
    return 0;
}
