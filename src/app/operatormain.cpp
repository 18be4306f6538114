#include <iostream>

int main()
{
    std::cerr << "clementinesill: no commands yet\n";
    return 2;
}
