#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

namespace foxtailwheel::http {

/// @brief What bytes are held for, in the order in which they are given up above the bound. Within one use, the holding
/// with the most bytes goes first.
enum class MemoryUse {
    IncompleteRequest, ///< Of a client that is still sending it.
    StreamResponse, ///< Parts of a stream that its client has not read.
    ServerResponse, ///< Incomplete response of a server.
    ReadyResponse, ///< Complete response that its client has not read. Its request may be one that may run only once.
    RequestInProgress, ///< Request that was received completely. It is never given up, since it may be running.
};

/// @brief Bounds of a budget, in bytes.
struct MemoryBudgetOptions {
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max(); ///< Above it, holdings are given up.
    /// @brief Of the server responses alone.
    std::size_t maxServerResponseBytes = std::numeric_limits<std::size_t>::max();
    /// @brief Fraction of `maxBytes` above which new requests are refused.
    double admitFraction = 0.75;
};

/// @brief Bytes held for one request or call; they count until it is destroyed. Not thread-safe, but different holdings
/// may be used by different threads.
class MemoryHolding {
public:
    virtual ~MemoryHolding() = default;
    MemoryHolding(const MemoryHolding&) = delete;
    MemoryHolding& operator=(const MemoryHolding&) = delete;
    /// @brief Sets the use and the number of bytes; if the bound is exceeded, holdings end, perhaps this one.
    virtual void set(MemoryUse use, std::size_t bytes) = 0;

protected:
    MemoryHolding() = default;
};

/// @brief Owner of the bytes that a process holds for clients and servers, counted together. Thread-safe.
class MemoryBudget {
public:
    static std::shared_ptr<MemoryBudget> create(const MemoryBudgetOptions& options);
    virtual ~MemoryBudget() = default;
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// @brief Starts a holding without bytes.
    /// @param end Gives the bytes up soon; called at most once, without a lock, perhaps on the thread of another
    /// holding.
    virtual std::unique_ptr<MemoryHolding> hold(std::function<void()> end) = 0;
    /// @brief Returns true if a new request that needs `bytes` may begin. One without other load always may.
    virtual bool admits(std::size_t bytes) const = 0;
    /// @brief Bytes of all holdings.
    virtual std::size_t heldBytes() const = 0;

protected:
    MemoryBudget() = default;
};

} // namespace foxtailwheel::http
