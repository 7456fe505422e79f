#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>
#include <string>

namespace foxtailwheel {

/// @brief Seeded random number generator; a seed produces the same sequence on every machine.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @brief Returns a uniformly distributed integer in [0, n), or 0 if `n` is 0.
    std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : m_engine() % n; }
    /// @brief Returns a uniformly distributed number in [0, 1).
    double uniform() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    /// @brief Returns true with probability `p`.
    bool chance(double p) { return uniform() < p; }
    /// @brief Returns a number from the exponential distribution with the given mean.
    double exponential(double mean);
    /// @brief Returns a number from the log-normal distribution with the given median and shape parameter `sigma`.
    double logNormal(double median, double sigma);
    /// @brief Returns 128 random bits as 32 hexadecimal digits.
    std::string token();
    /// @brief Returns the next 64 random bits.
    std::uint64_t next() { return m_engine(); }

private:
    pcg64 m_engine;
};

/// @brief Returns a seed from the operating system's random source, for use outside tests.
std::uint64_t systemSeed();

} // namespace foxtailwheel
