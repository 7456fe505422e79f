#include "foxtailwheel/config/ConfigFaults.h"

#include <utility>

namespace foxtailwheel::config {

std::string_view toString(FaultEffect effect)
{
    switch (effect) {
    case FaultEffect::Refused:
        return "refused";
    case FaultEffect::Replaced:
        return "replaced";
    case FaultEffect::Ignored:
        return "ignored";
    }
    return "unknown";
}

void ConfigFaults::add(ConfigFault fault)
{
    ++m_count;
    if (m_listed.size() < maxListed)
        m_listed.push_back(std::move(fault));
}

} // namespace foxtailwheel::config
