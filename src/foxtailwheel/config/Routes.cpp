#include "foxtailwheel/config/Routes.h"

#include <algorithm>

namespace foxtailwheel::config {

namespace {

    /// Returns the stages so that each comes after those it depends on, and otherwise as they are listed.
    std::vector<StageIndex> orderOf(const std::vector<RouteStage>& stages)
    {
        std::vector<StageIndex> order;
        std::vector<bool> ordered(stages.size(), false);
        const auto isReady = [&](const RouteStage& stage) {
            return std::all_of(stage.dependsOn.begin(), stage.dependsOn.end(),
                [&](StageIndex it) { return it < ordered.size() && ordered[it]; });
        };
        for (StageIndex i = 0; i < stages.size();) {
            if (ordered[i] || !isReady(stages[i])) {
                ++i;
                continue;
            }
            ordered[i] = true;
            order.push_back(i);
            i = 0;
        }
        return order;
    }

} // namespace

void RouteTable::buildIndex()
{
    for (auto& it : routes)
        it.stageOrder = orderOf(it.stages);
    m_routesByHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_routesByHost[routes[i].host].push_back(i);
    for (auto& it : m_routesByHost) {
        std::sort(it.second.begin(), it.second.end(), [this](std::size_t a, std::size_t b) {
            const auto sizeA = routes[a].prefix.size();
            const auto sizeB = routes[b].prefix.size();
            return sizeA != sizeB ? sizeA > sizeB : a < b;
        });
    }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(std::string(host));
    if (it == m_routesByHost.end())
        return nullptr;
    const auto& indexes = it->second;
    const auto found = std::find_if(
        indexes.begin(), indexes.end(), [&](std::size_t index) { return path.starts_with(routes[index].prefix); });
    return found == indexes.end() ? nullptr : &routes[*found];
}

const RoutedService* RouteTable::findService(const ServiceId& id) const
{
    const auto it
        = std::find_if(services.begin(), services.end(), [&id](const RoutedService& s) { return s.id == id; });
    return it == services.end() ? nullptr : &*it;
}

} // namespace foxtailwheel::config
