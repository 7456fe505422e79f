#include "foxtailwheel/routing/Subset.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <numeric>

namespace foxtailwheel::routing {

namespace {

    /// Places that are drawn from the own zone before any other, as a share of the subset.
    constexpr double localShare = 0.75;

    struct Weighed {
        std::size_t place;
        std::uint64_t weight;
    };

    void takeHeaviest(std::vector<Weighed>& from, std::size_t n, std::vector<std::size_t>& to)
    {
        n = std::min(n, from.size());
        const auto heavier = [](const Weighed& a, const Weighed& b) { return a.weight > b.weight; };
        std::partial_sort(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(n), from.end(), heavier);
        for (std::size_t i = 0; i < n; ++i)
            to.push_back(from[i].place);
        from.erase(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(n));
    }

} // namespace

std::vector<std::size_t> drawSubset(const std::vector<config::BackendServer>& servers, const InstanceId& self,
    const AvailabilityZoneId& zone, std::size_t size)
{
    std::vector<std::size_t> places;
    if (servers.size() <= size) {
        places.resize(servers.size());
        std::iota(places.begin(), places.end(), std::size_t { 0 });
        return places;
    }
    std::vector<Weighed> local;
    std::vector<Weighed> remote;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto weight = rendezvousWeight(self.value(), servers[i].id.value());
        (servers[i].zone == zone ? local : remote).push_back({ i, weight });
    }
    takeHeaviest(local, static_cast<std::size_t>(static_cast<double>(size) * localShare), places);
    takeHeaviest(remote, size - places.size(), places);
    takeHeaviest(local, size - places.size(), places);
    std::sort(places.begin(), places.end());
    return places;
}

} // namespace foxtailwheel::routing
