#include "foxtailwheel/control/ConfigFollower.h"

#include <algorithm>

namespace foxtailwheel::control {

namespace {

    /// Peers whose versions are remembered; more are not needed to fetch a text.
    constexpr std::size_t mostAnnounced = 64;

} // namespace

ConfigFollower::ConfigFollower(FollowOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

bool ConfigFollower::caughtUp() const
{
    const bool asked = m_tableAnswered || m_announced.size() >= m_options.peersToStart;
    return asked && m_inForce.value() > 0 && m_inForce >= m_known;
}

void ConfigFollower::tick(TimePoint now, FollowActions& out)
{
    if (m_fetching && now >= m_fetchUntil) {
        m_fetching = false;
        m_lastFetchFailed = true;
    }
    if (now >= m_readAt) {
        const auto period = m_isPoller || m_inForce.value() == 0 ? m_options.pollerPeriod : m_options.slowPeriod;
        m_readAt = now + fromSeconds(toSeconds(period) * (0.75 + m_random.uniform() / 2));
        out.emplace_back(ReadHead {});
    }
    fetchIfBehind(now, out);
}

void ConfigFollower::onHead(bool answered, const std::optional<ConfigHead>& head, TimePoint now, FollowActions& out)
{
    if (!answered)
        return;
    m_tableAnswered = true;
    if (head)
        m_known = std::max(m_known, head->version);
    fetchIfBehind(now, out);
}

void ConfigFollower::onAnnounced(const InstanceId& peer, ConfigVersion version, TimePoint now, FollowActions& out)
{
    if (m_announced.size() >= mostAnnounced && !m_announced.contains(peer))
        m_announced.erase(m_announced.begin());
    m_announced[peer] = version;
    m_known = std::max(m_known, version);
    fetchIfBehind(now, out);
}

void ConfigFollower::fetchIfBehind(TimePoint now, FollowActions& out)
{
    if (m_fetching || m_known <= m_inForce)
        return;
    std::vector<InstanceId> holders;
    for (const auto& it : m_announced) {
        if (it.second >= m_known && !(m_lastFetchFailed && m_fetchedFrom == it.first))
            holders.push_back(it.first);
    }
    FetchText fetch { m_known, std::nullopt };
    const bool askTable = m_lastFetchFailed && m_fetchedFrom.has_value() && m_random.chance(0.5);
    if (!holders.empty() && !askTable)
        fetch.peer = holders[m_random.below(holders.size())];
    m_fetching = true;
    m_fetchUntil = now + m_options.fetchTimeout;
    m_fetchedFrom = fetch.peer;
    out.emplace_back(std::move(fetch));
}

void ConfigFollower::onText(
    ConfigVersion version, const std::optional<std::string>& text, TimePoint now, FollowActions& out)
{
    m_fetching = false;
    m_lastFetchFailed = !text.has_value();
    if (!text || version <= m_inForce)
        return;
    m_inForce = version;
    m_known = std::max(m_known, version);
    out.emplace_back(InstallText { version, *text });
    fetchIfBehind(now, out);
}

} // namespace foxtailwheel::control
