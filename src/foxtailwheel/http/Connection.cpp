#include "Connection.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <utility>

namespace foxtailwheel::http {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;

namespace {

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    constexpr Duration cancelRetryDelay = std::chrono::milliseconds(50);
    /// While a request is forwarded, it is kept for another attempt beside the copy that is being sent.
    constexpr std::size_t requestCopies = 2;
    constexpr std::size_t headStepBytes = std::size_t { 4 } << 10U;
    constexpr std::size_t readStepBytes = std::size_t { 16 } << 10U;
    /// Bounds of the bytes that are read from a client after its request was refused.
    constexpr Duration discardTime = std::chrono::seconds(1);
    constexpr std::size_t maxDiscardedBytes = std::size_t { 8 } << 20U;

    Response errorResponse(unsigned status, const std::string& code)
    {
        return { status, { { "Content-Type", "application/json" } },
            "{\"outcome\":\"not_run\",\"reason\":\"" + code + "\"}" };
    }

    /// Nothing was forwarded, so the client may send the request again.
    Response memoryRefusal()
    {
        auto response = errorResponse(503, "memory");
        response.headers.push_back({ "Retry-After", "1" });
        return response;
    }

    struct FramingError {
        unsigned status = 400;
        std::string code;
    };

    /// Detects requests whose end or host two parsers could interpret differently, as in request smuggling (RFC 9112).
    std::optional<FramingError> findFramingError(const beast::http::request<beast::http::string_body>& message)
    {
        namespace bhttp = beast::http;
        if (message.version() >= 11 && message.count(bhttp::field::host) != 1)
            return FramingError { 400, "host_missing_or_repeated" };
        const auto codings = message.count(bhttp::field::transfer_encoding);
        if (codings > 0 && message.count(bhttp::field::content_length) > 0)
            return FramingError { 400, "length_and_transfer_encoding" };
        if (codings > 1 || (codings == 1 && !beast::iequals(message[bhttp::field::transfer_encoding], "chunked")))
            return FramingError { message.chunked() ? 501U : 400U, "unknown_transfer_encoding" };
        return std::nullopt;
    }

} // namespace

void Connection::closeIfIdle(Duration quietTime)
{
    net::post(m_stream.get_executor(), [self = shared_from_this(), quietTime] {
        const bool quiet = std::chrono::steady_clock::now() - self->m_awaitingSince >= quietTime;
        if (self->m_awaitingRequest && quiet && !self->hasBytesInSocket())
            self->m_stream.cancel();
    });
}

/// Returns true if bytes of another request have arrived.
bool Connection::hasUnreadBytes()
{
    return m_buffer.size() > 0 || hasBytesInSocket();
}

bool Connection::hasBytesInSocket()
{
    boost::system::error_code ec;
    return m_stream.socket().available(ec) > 0;
}

/// Detects that the peer closes the connection while its request is being processed.
void Connection::watchForDisconnect()
{
    if (m_watchingForDisconnect)
        return;
    m_watchingForDisconnect = true;
    m_stream.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
            self->m_watchingForDisconnect = false;
            const auto exchange = self->m_currentExchange.lock();
            if (ec || !exchange)
                return;
            char byte = 0;
            boost::system::error_code peekError;
            self->m_stream.socket().non_blocking(true, peekError);
            const auto n = self->m_stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            if (peekError == net::error::would_block)
                self->watchForDisconnect();
            else if (n == 0 || peekError)
                exchange->close();
        });
}

void Connection::scheduleReadTimer(std::chrono::steady_clock::time_point at, std::function<void()> work)
{
    m_readTimer.expires_at(at);
    m_readTimer.async_wait([self = shared_from_this(), n = ++m_readTimeoutId, work = std::move(work)](
                               const boost::system::error_code& ec) {
        if (!ec && n == self->m_readTimeoutId)
            work();
    });
}

/// Starts the timeout of the next read.
void Connection::startReadTimeout(Duration timeout)
{
    m_stream.expires_never();
    m_readTimedOut = false;
    scheduleReadTimer(std::chrono::steady_clock::now() + timeout, [this, timeout] { onReadTimeout(timeout, true); });
}

/// Ends the read, unless bytes have arrived that this process was too slow to read.
void Connection::onReadTimeout(Duration timeout, bool mayExtend)
{
    const auto now = std::chrono::steady_clock::now();
    if (mayExtend && hasBytesInSocket()) {
        scheduleReadTimer(now + timeout, [this, timeout] { onReadTimeout(timeout, false); });
        return;
    }
    m_readTimedOut = true;
    m_stream.cancel();
    // A read that has completed already cannot be cancelled, and another may follow it.
    scheduleReadTimer(now + cancelRetryDelay, [this, timeout] { onReadTimeout(timeout, false); });
}

/// Starts the timeout of the wait for a request.
void Connection::startIdleTimeout(bool first)
{
    m_stream.expires_never();
    m_awaitingSince = std::chrono::steady_clock::now();
    closeWhenIdle(first);
}

/// Ends the wait at the limit in force then: callers keep connections for as long as the newest one allows.
void Connection::closeWhenIdle(bool first)
{
    const auto limits = m_currentLimits->get();
    const auto end = m_awaitingSince + (first ? limits.headerTimeout : limits.idleTimeout);
    if (end > std::chrono::steady_clock::now())
        scheduleReadTimer(end, [this, first] { closeWhenIdle(first); });
    else
        m_stream.cancel();
}

/// Cancels the read timeout; one that has already expired but was not yet handled is ignored.
void Connection::cancelReadTimeout()
{
    ++m_readTimeoutId;
    m_readTimer.cancel();
}

net::awaitable<void> Connection::sendReadError(const boost::system::error_code& ec)
{
    namespace bhttp = beast::http;
    if (ec == bhttp::error::end_of_stream || ec == net::error::connection_reset) {
        cancelReadTimeout();
        co_return;
    }
    if (ec == net::error::operation_aborted && !m_readTimedOut && !m_endedForMemory) {
        cancelReadTimeout();
        co_return;
    }
    Response response = errorResponse(400, "malformed_http");
    if (m_endedForMemory)
        response = memoryRefusal();
    else if (ec == bhttp::error::body_limit)
        response = errorResponse(413, "body_too_large");
    else if (ec == bhttp::error::header_limit)
        response = errorResponse(431, "header_too_large");
    else if (m_readTimedOut)
        response = errorResponse(408, "too_slow");
    co_await refuse(std::move(response));
}

/// Waits until a byte of a request arrives.
/// @return False if the connection is to be closed.
net::awaitable<bool> Connection::awaitRequest(bool first)
{
    if (m_buffer.size() > 0)
        co_return true;
    startIdleTimeout(first);
    m_awaitingRequest = true;
    auto [ec] = co_await m_stream.socket().async_wait(tcp::socket::wait_read, completionToken);
    m_awaitingRequest = false;
    cancelReadTimeout();
    // A request may arrive while the wait is being cancelled.
    co_return !ec || hasBytesInSocket();
}

/// Reads once into the buffer, which may have `bufferBytes` at most.
net::awaitable<boost::system::error_code> Connection::readMore(std::size_t bufferBytes, std::size_t stepBytes)
{
    if (m_endedForMemory)
        co_return net::error::operation_aborted;
    if (m_buffer.size() >= bufferBytes)
        co_return beast::http::error::header_limit;
    const auto n = std::min(stepBytes, bufferBytes - m_buffer.size());
    auto [ec, received] = co_await m_stream.async_read_some(m_buffer.prepare(n), completionToken);
    m_buffer.commit(received);
    co_return ec;
}

net::awaitable<boost::system::error_code> Connection::readHead(RequestParser& parser, std::size_t bufferBytes)
{
    for (;;) {
        if (m_buffer.size() > 0) {
            const auto parseError = parser.parseHead(m_buffer);
            if (parseError || parser.isHeadDone())
                co_return parseError;
        }
        countRequest(MemoryUse::IncompleteRequest, 0);
        const auto readError = co_await readMore(bufferBytes, headStepBytes);
        if (readError)
            co_return readError == net::error::eof ? parser.endOfInput() : readError;
    }
}

net::awaitable<boost::system::error_code> Connection::readBody(RequestParser& parser, std::size_t bufferBytes)
{
    while (!parser.isDone()) {
        if (m_buffer.size() > 0) {
            const auto parseError = parser.parseBody(m_buffer);
            if (parseError || parser.isDone())
                co_return parseError;
        }
        countRequest(MemoryUse::IncompleteRequest, parser.bodyBytes());
        const auto readError = co_await readMore(bufferBytes, readStepBytes);
        if (readError)
            co_return readError == net::error::eof ? parser.endOfInput() : readError;
    }
    co_return boost::system::error_code();
}

/// Returns a function that ends what is being read or written; the connection closes then.
std::function<void()> Connection::cancelForMemory()
{
    return [weak = weak_from_this(), executor = m_stream.get_executor(), phase = ++m_memoryPhase] {
        net::post(executor, [weak, phase] {
            const auto self = weak.lock();
            if (self && self->m_memoryPhase == phase) {
                self->m_endedForMemory = true;
                self->m_stream.cancel();
            }
        });
    };
}

bool Connection::isAdmitted(const RequestParser& parser)
{
    if (!m_requestMemory)
        return true;
    // The bytes of its own head are no other load.
    m_requestMemory->set(MemoryUse::IncompleteRequest, 0);
    return m_options.memory->admits(requestCopies * parser.announcedBytes());
}

void Connection::countRequest(MemoryUse use, std::size_t bodyBytes)
{
    if (m_requestMemory)
        m_requestMemory->set(use, m_buffer.capacity() + requestCopies * bodyBytes);
}

/// Refuses a request that may not have been read completely, and ends the connection.
net::awaitable<void> Connection::refuse(Response response)
{
    cancelReadTimeout();
    m_requestMemory.reset();
    ++m_memoryPhase;
    const bool sent = co_await sendComplete(std::move(response), false);
    if (sent)
        co_await discardInput();
}

/// Reads and discards what the client still sends, for a while: a connection that is closed with unread bytes is reset,
/// and the client may lose the response.
net::awaitable<void> Connection::discardInput()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    const auto end = std::chrono::steady_clock::now() + discardTime;
    for (std::size_t total = 0; total < maxDiscardedBytes;) {
        m_stream.expires_at(end);
        auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(readStepBytes), completionToken);
        if (ec)
            co_return;
        total += n;
    }
}

net::awaitable<std::optional<Request>> Connection::readRequest(bool& keepAlive, bool first)
{
    namespace bhttp = beast::http;
    m_isHeadRequest = false;
    const bool arrived = co_await awaitRequest(first);
    if (!arrived)
        co_return std::nullopt;
    m_endedForMemory = false;
    if (m_options.memory)
        m_requestMemory = m_options.memory->hold(cancelForMemory());
    const auto limits = m_currentLimits->get();
    RequestParser parser(limits);
    const auto bufferBytes = RequestParser::bufferBytes(limits);
    startReadTimeout(limits.headerTimeout);
    const auto headError = co_await readHead(parser, bufferBytes);
    if (headError) {
        co_await sendReadError(headError);
        co_return std::nullopt;
    }
    if (const auto error = findFramingError(parser.message())) {
        co_await refuse(errorResponse(error->status, error->code));
        co_return std::nullopt;
    }
    if (!isAdmitted(parser)) {
        co_await refuse(memoryRefusal());
        co_return std::nullopt;
    }
    const bool expectsContinue = beast::iequals(parser.message()[bhttp::field::expect], "100-continue");
    if (expectsContinue && !parser.isDone() && m_buffer.size() == 0) {
        cancelReadTimeout();
        const bool sent = co_await sendContinue();
        if (!sent)
            co_return std::nullopt;
    }
    startReadTimeout(limits.bodyTimeout);
    const auto bodyError = co_await readBody(parser, bufferBytes);
    if (bodyError) {
        parser.discardBody();
        co_await sendReadError(bodyError);
        co_return std::nullopt;
    }
    cancelReadTimeout();
    countRequest(MemoryUse::RequestInProgress, parser.bodyBytes());
    ++m_memoryPhase;
    auto message = parser.release();
    keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == bhttp::verb::head;
    Request request { std::string(message.method_string()), std::string(message.target()), {},
        std::move(message.body()) };
    for (const auto& it : message)
        request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
    // A buffer that has grown would stay with an idle connection.
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    if (m_options.identifyResponses)
        m_requestId = findHeader(request.headers, identityField);
    co_return request;
}

/// Asks a client that sent `Expect: 100-continue` for the body.
net::awaitable<bool> Connection::sendContinue()
{
    m_stream.expires_after(m_options.writeTimeout);
    auto [ec, n] = co_await net::async_write(m_stream, net::buffer(continueResponse), completionToken);
    co_return !ec;
}

net::awaitable<bool> Connection::sendComplete(Response response, bool keepAlive)
{
    namespace bhttp = beast::http;
    if (m_isHeadRequest) {
        const bool sent = co_await sendHeaders(std::move(response), keepAlive, false);
        co_return sent;
    }
    bhttp::response<bhttp::string_body> message { static_cast<bhttp::status>(response.status), 11 };
    for (const auto& it : response.headers)
        message.insert(it.name, it.value);
    if (!m_requestId.empty())
        message.set(identityField, m_requestId);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_stream.expires_after(m_options.writeTimeout);
    auto [ec, n] = co_await bhttp::async_write(m_stream, message, completionToken);
    co_return !ec;
}

net::awaitable<bool> Connection::sendHeaders(Response response, bool keepAlive, bool chunked)
{
    namespace bhttp = beast::http;
    bhttp::response<bhttp::empty_body> message { static_cast<bhttp::status>(response.status), 11 };
    for (const auto& it : response.headers)
        message.insert(it.name, it.value);
    if (!m_requestId.empty())
        message.set(identityField, m_requestId);
    message.keep_alive(keepAlive);
    message.chunked(chunked);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    m_stream.expires_after(m_options.writeTimeout);
    auto [ec, n] = co_await bhttp::async_write_header(m_stream, serializer, completionToken);
    co_return !ec;
}

net::awaitable<bool> Connection::sendChunk(std::string chunk)
{
    m_stream.expires_after(m_options.writeTimeout);
    auto [ec, n] = co_await net::async_write(m_stream, beast::http::make_chunk(net::buffer(chunk)), completionToken);
    co_return !ec;
}

net::awaitable<bool> Connection::sendLastChunk()
{
    m_stream.expires_after(m_options.writeTimeout);
    auto [ec, n] = co_await net::async_write(m_stream, beast::http::make_chunk_last(), completionToken);
    co_return !ec;
}

net::awaitable<bool> Connection::writeResponse(const std::shared_ptr<Exchange>& exchange, bool keepAlive)
{
    bool sent = true;
    while (sent) {
        m_stream.expires_never();
        auto part = co_await exchange->nextPart();
        if (m_endedForMemory)
            co_return false;
        switch (part.kind) {
        case ResponsePartKind::Complete:
            keepAlive = keepAlive && mayStayOpen();
            sent = co_await sendComplete(std::move(part.response), keepAlive);
            co_return sent&& keepAlive;
        case ResponsePartKind::Head:
            keepAlive = keepAlive && mayStayOpen();
            sent = co_await sendHeaders(std::move(part.response), keepAlive, !m_isHeadRequest);
            break;
        case ResponsePartKind::Chunk:
            if (!m_isHeadRequest)
                sent = co_await sendChunk(std::move(part.chunk));
            break;
        case ResponsePartKind::LastChunk:
            if (!m_isHeadRequest)
                sent = co_await sendLastChunk();
            co_return sent&& keepAlive;
        case ResponsePartKind::Abort:
            co_return false;
        }
    }
    co_return false;
}

void Connection::reportError(const std::exception& error) const
{
    if (m_onError)
        m_onError(error.what());
}

/// Calls the handler; an exception fails this request only.
void Connection::handle(Request request, const std::shared_ptr<Exchange>& exchange)
{
    try {
        m_handler(std::move(request), exchange);
    } catch (const std::exception& error) {
        reportError(error);
        exchange->fail();
    }
}

net::awaitable<void> Connection::serve()
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    bool reusable = true;
    for (bool first = true; reusable && (first || !m_state->stopping || hasUnreadBytes()); first = false) {
        bool keepAlive = true;
        auto request = co_await readRequest(keepAlive, first);
        if (!request)
            break;
        ++m_state->requestsInProgress;
        auto exchange = std::make_shared<Exchange>(m_stream.get_executor(), m_options.maxQueuedBytes);
        if (m_options.memory)
            exchange->countIn(*m_options.memory, cancelForMemory(), std::move(m_requestMemory));
        m_currentExchange = exchange;
        watchForDisconnect();
        handle(std::move(*request), exchange);
        try {
            reusable = co_await writeResponse(exchange, keepAlive);
        } catch (const std::exception& error) {
            reportError(error);
            reusable = false;
        }
        m_currentExchange.reset();
        exchange->close();
        ++m_memoryPhase;
        --m_state->requestsInProgress;
    }
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace foxtailwheel::http
