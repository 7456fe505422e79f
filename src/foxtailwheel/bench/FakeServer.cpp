#include "FakeServer.h"

#include <algorithm>

namespace foxtailwheel::bench {

bool FakeServer::touchPrefix(routing::PrefixHash prefix)
{
    const auto it = std::find(prefixCache.begin(), prefixCache.end(), prefix);
    const bool cached = it != prefixCache.end();
    if (cached)
        prefixCache.erase(it);
    prefixCache.push_front(prefix);
    if (prefixCache.size() > prefixCacheCapacity)
        prefixCache.pop_back();
    return cached;
}

} // namespace foxtailwheel::bench
