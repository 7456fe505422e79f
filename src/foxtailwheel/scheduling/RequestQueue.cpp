#include "foxtailwheel/scheduling/RequestQueue.h"

#include <algorithm>
#include <tuple>

namespace foxtailwheel::scheduling {

void RequestQueue::add(const WaitingRequest& request)
{
    m_requests.insert_or_assign(request.id, request);
}

void RequestQueue::remove(std::uint64_t id)
{
    m_requests.erase(id);
}

std::vector<std::uint64_t> RequestQueue::order(TimePoint now) const
{
    // Which requests are late changes with time, so the order is computed anew. Few requests wait at a time.
    using Rank = std::tuple<std::uint32_t, bool, TimePoint, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(m_requests.size());
    for (const auto& [id, it] : m_requests)
        ranks.emplace_back(it.priority, it.targetTime < now, it.targetTime, id);
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::uint64_t> ids;
    ids.reserve(ranks.size());
    for (const auto& it : ranks)
        ids.push_back(std::get<std::uint64_t>(it));
    return ids;
}

bool RequestQueue::isTooLate(std::uint64_t id, TimePoint now) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.latestTime < now;
}

} // namespace foxtailwheel::scheduling
