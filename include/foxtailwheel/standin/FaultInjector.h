#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace foxtailwheel::standin {

/// @brief Faults that can be injected into a stand-in.
enum class FaultKind {
    Refuse, ///< Report that the request was not started.
    Fail, ///< Report a server error.
    CloseBefore, ///< Close the connection without executing the request.
    CloseMiddle, ///< Execute the request, send part of the response, then close.
    CloseAfter, ///< Execute the request, then close without a response.
    Silent, ///< Execute the request and never respond.
    Late, ///< Execute the request and respond after the delay.
    Leaving, ///< Execute the request and say in the response that the server is leaving.
    Pause, ///< Report that the request was not started, and ask for no further ones for the delay.
};

/// @brief Fault to inject.
struct Fault {
    FaultKind kind = FaultKind::Fail;
    Duration delay {}; ///< Used by `Late` and `Pause` only.
};

/// @brief Injects a configured fault into the next requests; thread-safe.
class FaultInjector {
public:
    /// @brief Injects `fault` into the next `count` requests.
    void setFault(Fault fault, std::uint64_t count);
    /// @brief Sets the fault from JSON such as `{"kind": "close_after", "count": 1, "delay_ms": 100}`; returns false
    /// if `kind` is missing or unknown.
    bool setFromJson(const std::string& text);
    /// @brief Returns the fault for the next request, if any, and decrements the remaining count.
    std::optional<Fault> nextFault();

private:
    std::mutex m_mutex;
    Fault m_fault;
    std::uint64_t m_remaining = 0;
};

} // namespace foxtailwheel::standin
