#include "foxtailwheel/base/Random.h"

#include <cmath>
#include <cstdio>
#include <numbers>

namespace foxtailwheel {

double Random::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

double Random::logNormal(double median, double sigma)
{
    const double radius = std::sqrt(-2.0 * std::log1p(-uniform()));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * uniform());
    return median * std::exp(sigma * normal);
}

std::string Random::token()
{
    std::string buf(32, '0');
    for (std::size_t i = 0; i < buf.size(); ++i)
        buf[i] = "0123456789abcdef"[below(16)];
    return buf;
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace foxtailwheel
