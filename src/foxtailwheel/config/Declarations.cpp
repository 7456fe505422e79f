#include "foxtailwheel/config/Declarations.h"

#include <algorithm>
#include <array>
#include <set>

namespace foxtailwheel::config {

namespace {

    constexpr std::array<std::string_view, 5> kindNames { "encoder", "retriever", "reranker", "model-engine", "plain" };

    template <class T, class Id> const T* findById(const std::vector<T>& items, const Id& id)
    {
        const auto it = std::find_if(items.begin(), items.end(), [&id](const T& item) { return item.id == id; });
        return it == items.end() ? nullptr : &*it;
    }

    void visitDependencies(const Declarations& declarations, const ServiceId& id, std::set<ServiceId>& visited,
        std::vector<ServiceId>& order)
    {
        if (!visited.insert(id).second)
            return;
        const auto* service = declarations.findService(id);
        if (service == nullptr)
            return;
        for (const auto& it : service->dependsOn)
            visitDependencies(declarations, it, visited, order);
        order.push_back(id);
    }

} // namespace

std::string_view toString(ServiceKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

const Service* Declarations::findService(const ServiceId& id) const
{
    return findById(services, id);
}

const Pipeline* Declarations::findPipeline(const PipelineId& id) const
{
    return findById(pipelines, id);
}

const ClientAccount* Declarations::findAccount(const ClientAccountId& id) const
{
    return findById(accounts, id);
}

const Link* Declarations::findLink(const AvailabilityZoneId& a, const AvailabilityZoneId& b) const
{
    const auto connects
        = [&](const Link& link) { return (link.from == a && link.to == b) || (link.from == b && link.to == a); };
    const auto it = std::find_if(links.begin(), links.end(), connects);
    return it == links.end() ? nullptr : &*it;
}

std::vector<ServiceId> dependencyOrder(const Declarations& declarations, const ServiceId& result)
{
    std::set<ServiceId> visited;
    std::vector<ServiceId> order;
    visitDependencies(declarations, result, visited, order);
    return order;
}

} // namespace foxtailwheel::config
