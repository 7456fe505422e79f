#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>
#include <string>

namespace foxtailwheel {

/// @brief Seeded random numbers; the same seed gives the same sequence on every machine.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @brief A uniform number in [0, n); 0 where n is 0.
    std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : m_engine() % n; }
    /// @brief A uniform number in [0, 1).
    double uniform() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    /// @brief True with probability `p`.
    bool chance(double p) { return uniform() < p; }
    /// @brief A number of the exponential distribution with the given mean.
    double exponential(double mean);
    /// @brief A number of the log-normal distribution with the given median and shape.
    double logNormal(double median, double sigma);
    /// @brief 128 random bits as 32 hexadecimal digits.
    std::string token();
    /// @brief The next 64 random bits.
    std::uint64_t next() { return m_engine(); }

private:
    pcg64 m_engine;
};

/// @brief A seed taken from the operating system, for use outside tests.
std::uint64_t systemSeed();

} // namespace foxtailwheel
