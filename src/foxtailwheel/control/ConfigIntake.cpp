#include "foxtailwheel/control/ConfigIntake.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::control {

StoredConfig ConfigIntake::read(const std::string* text, store::StoreEpoch epoch, ConfigVersion active, TimePoint now)
{
    const auto textHash = text == nullptr ? 0 : hashOf(*text);
    if (epoch != m_epoch) {
        m_epoch = epoch;
        m_epochReadAt = now;
        m_firstTextHash = textHash;
        m_isAsRestored = RestoredConfigGuard::mayHaveLost(epoch);
    }
    m_isAsRestored = m_isAsRestored && textHash == m_firstTextHash;
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

StoredConfig ConfigIntake::readFromPeer(const std::string& text, ConfigVersion active) const
{
    auto decoded = m_decoder(text);
    if (!decoded)
        return { ConfigDecision::Unreadable, nullptr, decoded.error().message() };
    const ConfigVersion version(decoded.value()->version);
    return { version > active ? ConfigDecision::Taken : ConfigDecision::Outdated, std::move(decoded.value()), {} };
}

bool ConfigIntake::confirms(ConfigVersion active, TimePoint now) const
{
    if (m_storedVersion == ConfigVersion())
        return false;
    if (RestoredConfigGuard::mayHaveLost(m_epoch) && m_guard.newestPeerVersion(now) > active)
        return false;
    // Until then, another instance may tell a newer version.
    return m_storedVersion >= active || (m_isAsRestored && now - m_epochReadAt >= RestoredConfigGuard::maxWait);
}

bool ConfigIntake::needsFromPeer(ConfigVersion version, ConfigVersion active) const
{
    return RestoredConfigGuard::mayHaveLost(m_epoch) && version > std::max(active, m_storedVersion);
}

} // namespace foxtailwheel::control
