#include "foxtailwheel/control/ConfigIntake.h"

namespace foxtailwheel::control {

StoredConfig ConfigIntake::read(const std::string* text, store::StoreEpoch epoch, ConfigVersion active, TimePoint now)
{
    m_storedVersion = {};
    if (text == nullptr)
        return {};
    auto decoded = m_decoder(*text);
    if (!decoded)
        return { ConfigDecision::Unreadable, nullptr, decoded.error().message() };
    StoredConfig stored { ConfigDecision::Taken, std::move(decoded.value()), {} };
    m_storedVersion = ConfigVersion(stored.routes->version);
    if (m_storedVersion < active)
        stored.decision = ConfigDecision::Outdated;
    else if (active == ConfigVersion() && !m_guard.admits(m_storedVersion, epoch, now))
        stored.decision = ConfigDecision::Held;
    return stored;
}

} // namespace foxtailwheel::control
