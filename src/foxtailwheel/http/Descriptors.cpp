#include "foxtailwheel/http/Descriptors.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace foxtailwheel::http {

std::uint32_t maxClientConnections()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min<rlim_t>(limit.rlim_cur - limit.rlim_cur / 4, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace foxtailwheel::http
