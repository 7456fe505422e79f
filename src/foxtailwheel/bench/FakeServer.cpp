#include "FakeServer.h"

#include <algorithm>

namespace foxtailwheel::bench {

bool FakeServer::touchPrefix(routing::PrefixHash prefix)
{
    const auto it = std::find(cache.begin(), cache.end(), prefix);
    const bool held = it != cache.end();
    if (held)
        cache.erase(it);
    cache.push_front(prefix);
    if (cache.size() > cachedPrefixes)
        cache.pop_back();
    return held;
}

} // namespace foxtailwheel::bench
