#include "foxtailwheel/config/Routes.h"

#include <algorithm>

namespace foxtailwheel::config {

void RouteTable::index()
{
    m_byHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_byHost[routes[i].host].push_back(i);
    for (auto& it : m_byHost) {
        std::sort(it.second.begin(), it.second.end(), [this](std::size_t a, std::size_t b) {
            const auto longer = routes[a].prefix.size();
            const auto other = routes[b].prefix.size();
            return longer != other ? longer > other : a < b;
        });
    }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(std::string(host));
    if (it == m_byHost.end())
        return nullptr;
    const auto& places = it->second;
    const auto found = std::find_if(
        places.begin(), places.end(), [&](std::size_t place) { return path.starts_with(routes[place].prefix); });
    return found == places.end() ? nullptr : &routes[*found];
}

const RoutedService* RouteTable::findService(const ServiceId& id) const
{
    const auto it
        = std::find_if(services.begin(), services.end(), [&id](const RoutedService& s) { return s.id == id; });
    return it == services.end() ? nullptr : &*it;
}

} // namespace foxtailwheel::config
