#include "foxtailwheel/cli/Commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(foxtailwheel::cli::runCommand({ argv + 1, argv + argc }, std::cout, std::cerr));
}
