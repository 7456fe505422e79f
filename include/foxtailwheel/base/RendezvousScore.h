#pragma once

#include <cmath>
#include <cstdint>

namespace foxtailwheel {

/// @brief Returns the score of a member in weighted rendezvous hashing. The member with the highest score is picked for
/// a share of all keys in proportion to its weight.
/// @param hash Of the member and the key.
/// @param weight Above 0.
inline double rendezvousScore(std::uint64_t hash, double weight)
{
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
    return weight / -std::log(uniform);
}

} // namespace foxtailwheel
