#include "foxtailwheel/routing/Subset.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <numeric>

namespace foxtailwheel::routing {

namespace {

    /// Fraction of the subset that is filled from the local zone first.
    constexpr double localZoneFraction = 0.75;

    struct WeightedServer {
        std::size_t index;
        std::uint64_t weight;
    };

    /// Moves the `count` servers of the greatest weight from `candidates` to `selected`.
    void moveHeaviest(std::vector<WeightedServer>& candidates, std::size_t count, std::vector<std::size_t>& selected)
    {
        count = std::min(count, candidates.size());
        const auto heavier = [](const WeightedServer& a, const WeightedServer& b) { return a.weight > b.weight; };
        std::partial_sort(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), heavier);
        for (std::size_t i = 0; i < count; ++i)
            selected.push_back(candidates[i].index);
        candidates.erase(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count));
    }

} // namespace

std::vector<std::size_t> selectSubset(const std::vector<config::BackendServer>& servers, const InstanceId& self,
    const AvailabilityZoneId& zone, std::size_t size)
{
    std::vector<std::size_t> indices;
    if (servers.size() <= size) {
        indices.resize(servers.size());
        std::iota(indices.begin(), indices.end(), std::size_t { 0 });
        return indices;
    }
    std::vector<WeightedServer> local;
    std::vector<WeightedServer> remote;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto weight = rendezvousWeight(self.value(), servers[i].id.value());
        (servers[i].zone == zone ? local : remote).push_back({ i, weight });
    }
    moveHeaviest(local, static_cast<std::size_t>(static_cast<double>(size) * localZoneFraction), indices);
    moveHeaviest(remote, size - indices.size(), indices);
    moveHeaviest(local, size - indices.size(), indices);
    std::sort(indices.begin(), indices.end());
    return indices;
}

} // namespace foxtailwheel::routing
