#include "foxtailwheel/config/Fault.h"

namespace foxtailwheel::config {

std::string describe(const Fault& fault)
{
    std::string line;
    if (fault.line > 0)
        line = std::to_string(fault.line) + ":" + std::to_string(fault.column) + " ";
    if (!fault.path.empty())
        line += fault.path + ": ";
    line += fault.message;
    if (!fault.suggestion.empty())
        line += " (" + fault.suggestion + ")";
    return line;
}

std::string describe(const Faults& faults)
{
    std::string lines;
    for (const auto& it : faults)
        lines += describe(it) + "\n";
    return lines;
}

} // namespace foxtailwheel::config
