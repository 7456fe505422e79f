#include "Exchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace foxtailwheel::http {

namespace net = boost::asio;

namespace {

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);

} // namespace

void Exchange::countIn(MemoryBudget& memory, std::function<void()> end, std::unique_ptr<MemoryHolding> request)
{
    m_memory = memory.hold(std::move(end));
    m_requestMemory = std::move(request);
}

/// Must be called without the lock: the budget may end this exchange.
void Exchange::countBytes()
{
    const std::lock_guard memoryLock(m_memoryMutex);
    if (!m_memory)
        return;
    std::size_t n = 0;
    bool isRequestOver = false;
    auto use = MemoryUse::ReadyResponse;
    {
        const std::lock_guard lock(m_mutex);
        n = m_sendingBytes;
        for (const auto& it : m_parts)
            n += it.chunk.size() + it.response.body.size();
        isRequestOver = m_ended || m_closed;
        use = m_isStream ? MemoryUse::StreamResponse : MemoryUse::ReadyResponse;
    }
    // Otherwise a long request could be the reason to give up its own response.
    if (isRequestOver)
        m_requestMemory.reset();
    m_memory->set(use, n);
}

bool Exchange::push(ResponsePart part)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_ended)
            return false;
        m_queuedBytes += part.chunk.size();
        if (m_queuedBytes > m_maxQueuedBytes) {
            part = { ResponsePartKind::Abort, {}, {} };
            m_overflowed = true;
        }
        m_begun = true;
        m_isStream = m_isStream || part.kind == ResponsePartKind::Head;
        m_ended = part.kind != ResponsePartKind::Head && part.kind != ResponsePartKind::Chunk;
        m_parts.push_back(std::move(part));
    }
    countBytes();
    net::post(m_wakeTimer.get_executor(), [self = shared_from_this()] { self->m_wakeTimer.cancel(); });
    const std::lock_guard lock(m_mutex);
    return m_queuedBytes <= m_maxQueuedBytes;
}

void Exchange::onDisconnect(std::function<void()> work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_closed) {
            m_onDisconnect = std::move(work);
            return;
        }
    }
    work();
}

void Exchange::fail()
{
    std::function<void()> work;
    bool begun = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended)
            return;
        begun = m_begun;
        work = std::exchange(m_onDisconnect, nullptr);
    }
    if (begun)
        abort();
    else
        respond({ 500, { { "Content-Type", "application/json" } },
            "{\"outcome\":\"failed\",\"reason\":\"internal_error\"}" });
    if (work)
        work();
}

void Exchange::close()
{
    std::function<void()> work;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return;
        m_closed = true;
        if (!m_ended || m_overflowed)
            work = std::move(m_onDisconnect);
        m_onDisconnect = nullptr;
        m_parts.clear();
        m_sendingBytes = 0;
    }
    countBytes();
    m_wakeTimer.cancel();
    if (work)
        work();
}

net::awaitable<ResponsePart> Exchange::nextPart()
{
    for (;;) {
        std::optional<ResponsePart> part;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_parts.empty()) {
                part = std::move(m_parts.front());
                m_parts.pop_front();
                m_queuedBytes -= part->chunk.size();
            } else if (m_closed) {
                part = ResponsePart { ResponsePartKind::Abort, {}, {} };
            }
            m_sendingBytes = part ? part->chunk.size() + part->response.body.size() : 0;
        }
        countBytes();
        if (part)
            co_return std::move(*part);
        m_wakeTimer.expires_at(net::steady_timer::time_point::max());
        co_await m_wakeTimer.async_wait(completionToken);
    }
}

} // namespace foxtailwheel::http
