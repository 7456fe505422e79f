#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace foxtailwheel::standin {

/// @brief Faults that a stand-in can be told to show.
enum class FaultKind {
    Refuse, ///< Say that nothing was started.
    Fail, ///< Say that it failed.
    CloseBefore, ///< Close the connection without doing anything.
    CloseMiddle, ///< Do the work, send a part of the answer, close.
    CloseAfter, ///< Do the work, close without an answer.
    Silent, ///< Do the work, never answer.
    Late, ///< Do the work, answer after the delay.
};

/// @brief A fault with its delay, for the ones that have one.
struct Fault {
    FaultKind kind = FaultKind::Fail;
    Duration delay {};
};

/// @brief The faults that are set; thread-safe.
class FaultPlan {
public:
    /// @brief Shows `fault` on the next `count` requests.
    void set(Fault fault, std::uint64_t count);
    /// @brief Reads `{"kind": "close_after", "count": 1, "delay_ms": 100}`; false where it is not one.
    bool setFromJson(const std::string& text);
    /// @brief The fault of the next request, if any; counts it.
    std::optional<Fault> next();

private:
    std::mutex m_mutex;
    Fault m_fault;
    std::uint64_t m_left = 0;
};

} // namespace foxtailwheel::standin
