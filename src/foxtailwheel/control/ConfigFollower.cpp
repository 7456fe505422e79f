#include "foxtailwheel/control/ConfigFollower.h"

#include <algorithm>

namespace foxtailwheel::control {

namespace {

    /// Maximum number of peers whose versions are tracked; more are not needed to fetch a text.
    constexpr std::size_t maxTrackedPeers = 64;

} // namespace

ConfigFollower::ConfigFollower(ConfigFollowerOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

bool ConfigFollower::caughtUp() const
{
    const bool hasResponses = m_tableResponded || m_peerVersions.size() >= m_options.minPeersToStart;
    return hasResponses && m_activeVersion.value() > 0 && m_activeVersion >= m_latestKnownVersion;
}

void ConfigFollower::tick(TimePoint now, ConfigFollowerActions& out)
{
    if (m_fetching && now >= m_fetchDeadline) {
        m_fetching = false;
        m_lastFetchFailed = true;
    }
    if (now >= m_nextReadAt) {
        const auto period
            = m_isPoller || m_activeVersion.value() == 0 ? m_options.pollerPeriod : m_options.nonPollerPeriod;
        m_nextReadAt = now + fromSeconds(toSeconds(period) * (0.75 + m_random.uniform() / 2));
        out.emplace_back(ReadHead {});
    }
    fetchIfBehind(now, out);
}

void ConfigFollower::onHead(
    bool succeeded, const std::optional<ConfigHead>& head, TimePoint now, ConfigFollowerActions& out)
{
    if (!succeeded)
        return;
    m_tableResponded = true;
    if (head)
        m_latestKnownVersion = std::max(m_latestKnownVersion, head->version);
    fetchIfBehind(now, out);
}

void ConfigFollower::onPeerVersion(
    const InstanceId& peer, ConfigVersion version, TimePoint now, ConfigFollowerActions& out)
{
    if (m_peerVersions.size() >= maxTrackedPeers && !m_peerVersions.contains(peer))
        m_peerVersions.erase(m_peerVersions.begin());
    m_peerVersions[peer] = version;
    m_latestKnownVersion = std::max(m_latestKnownVersion, version);
    fetchIfBehind(now, out);
}

void ConfigFollower::fetchIfBehind(TimePoint now, ConfigFollowerActions& out)
{
    if (m_fetching || m_latestKnownVersion <= m_activeVersion)
        return;
    std::vector<InstanceId> holders;
    for (const auto& it : m_peerVersions) {
        if (it.second >= m_latestKnownVersion && !(m_lastFetchFailed && m_fetchedFrom == it.first))
            holders.push_back(it.first);
    }
    FetchText fetch { m_latestKnownVersion, std::nullopt };
    const bool useTable = m_lastFetchFailed && m_fetchedFrom.has_value() && m_random.chance(0.5);
    if (!holders.empty() && !useTable)
        fetch.peer = holders[m_random.below(holders.size())];
    m_fetching = true;
    m_fetchDeadline = now + m_options.fetchTimeout;
    m_fetchedFrom = fetch.peer;
    out.emplace_back(std::move(fetch));
}

void ConfigFollower::onText(
    ConfigVersion version, const std::optional<std::string>& text, TimePoint now, ConfigFollowerActions& out)
{
    m_fetching = false;
    m_lastFetchFailed = !text.has_value();
    if (!text || version <= m_activeVersion)
        return;
    m_activeVersion = version;
    m_latestKnownVersion = std::max(m_latestKnownVersion, version);
    out.emplace_back(InstallText { version, *text });
    fetchIfBehind(now, out);
}

} // namespace foxtailwheel::control
