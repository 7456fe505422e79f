#include "foxtailwheel/control/RestoredConfigGuard.h"

namespace foxtailwheel::control {

namespace {

    /// Epoch of a store that has never lost what it acknowledged, or that does not tell its epoch (0).
    constexpr store::StoreEpoch firstEpoch { 1 };

} // namespace

bool RestoredConfigGuard::onPeerVersion(ConfigVersion version, TimePoint now)
{
    const auto newest = newestPeerVersion(now);
    if (version < newest)
        return false;
    m_newestPeerVersion = version;
    m_heardAt = now;
    return version > newest;
}

ConfigVersion RestoredConfigGuard::newestPeerVersion(TimePoint now) const
{
    return now - m_heardAt < peerVersionLifetime ? m_newestPeerVersion : ConfigVersion();
}

bool RestoredConfigGuard::mayHaveLost(store::StoreEpoch epoch)
{
    return epoch > firstEpoch;
}

bool RestoredConfigGuard::admits(ConfigVersion version, store::StoreEpoch epoch, TimePoint now) const
{
    if (!mayHaveLost(epoch))
        return true;
    const auto newest = newestPeerVersion(now);
    return newest > ConfigVersion() ? version >= newest : now - m_startedAt >= maxWait;
}

} // namespace foxtailwheel::control
