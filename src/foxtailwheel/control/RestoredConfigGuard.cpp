#include "foxtailwheel/control/RestoredConfigGuard.h"

namespace foxtailwheel::control {

namespace {

    /// Epoch of a store that has never lost what it acknowledged, or that does not tell its epoch (0).
    constexpr store::StoreEpoch firstEpoch { 1 };

} // namespace

bool RestoredConfigGuard::onPeerVersion(ConfigVersion version)
{
    if (version <= m_newestPeerVersion)
        return false;
    m_newestPeerVersion = version;
    return true;
}

bool RestoredConfigGuard::admits(ConfigVersion version, store::StoreEpoch epoch, TimePoint now) const
{
    if (epoch <= firstEpoch)
        return true;
    const bool hasHeard = m_newestPeerVersion > ConfigVersion();
    return hasHeard ? version >= m_newestPeerVersion : now - m_startedAt >= maxWait;
}

} // namespace foxtailwheel::control
