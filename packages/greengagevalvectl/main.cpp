#include <ggv/coordination/version.hpp>

#include <iostream>

int main()
{
    std::cout << "greengagevalvectl " << ggv::softwareVersion() << "\n";
    return 0;
}
