#pragma once

#include "foxtailwheel/http/Server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace foxtailwheel::http {

/// @brief Kind of a part of a response.
enum class ResponsePartKind { Complete, Head, Chunk, LastChunk, Abort };

/// @brief Part of a response, in the order of sending.
struct ResponsePart {
    ResponsePartKind kind = ResponsePartKind::Complete;
    Response response;
    std::string chunk;
};

/// @brief A request in progress: queues the parts of its response, which any thread may add, for the connection's
/// coroutine.
class Exchange final : public Responder, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(const boost::asio::any_io_executor& executor, std::size_t maxQueuedBytes)
        : m_wakeTimer(executor, boost::asio::steady_timer::time_point::max())
        , m_maxQueuedBytes(maxQueuedBytes)
    {
    }

    void respond(Response response) override { push({ ResponsePartKind::Complete, std::move(response), {} }); }
    void beginStream(Response head) override { push({ ResponsePartKind::Head, std::move(head), {} }); }
    bool write(std::string chunk) override { return push({ ResponsePartKind::Chunk, {}, std::move(chunk) }); }
    void endStream() override { push({ ResponsePartKind::LastChunk, {}, {} }); }
    void abort() override { push({ ResponsePartKind::Abort, {}, {} }); }
    void onDisconnect(std::function<void()> work) override;

    /// Waits for the next part; must run on the connection's strand.
    boost::asio::awaitable<ResponsePart> nextPart();
    /// Ends a response whose handler has thrown: status 500, or an abort if a part of it is queued.
    void fail();
    /// @brief Counts the parts of the response in a budget, until the exchange is closed.
    /// @param end Ends the connection.
    /// @param request Bytes of the request; they count until its response is complete.
    void countIn(MemoryBudget& memory, std::function<void()> end, std::unique_ptr<MemoryHolding> request);
    /// Discards queued parts, and calls the disconnect callback if the response is incomplete.
    void close();

private:
    bool push(ResponsePart part);
    void countBytes();

    mutable std::mutex m_mutex;
    std::deque<ResponsePart> m_parts;
    std::size_t m_queuedBytes = 0;
    std::size_t m_sendingBytes = 0; ///< Of the part that was taken last.
    bool m_isStream = false;
    std::mutex m_memoryMutex;
    std::unique_ptr<MemoryHolding> m_memory; ///< May be null.
    std::unique_ptr<MemoryHolding> m_requestMemory; ///< May be null.
    bool m_closed = false;
    bool m_begun = false;
    bool m_ended = false;
    bool m_overflowed = false; ///< The response was aborted because the client reads too slowly.
    std::function<void()> m_onDisconnect;
    boost::asio::steady_timer m_wakeTimer;
    std::size_t m_maxQueuedBytes;
};

} // namespace foxtailwheel::http
