#pragma once

#include "foxtailwheel/http/Server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace foxtailwheel::http {

/// @brief Parses one request and bounds every part of it: head, body, chunk headers with their extensions, trailers.
///
/// Beast limits the head and the body only. A chunk header and the trailers are parsed when they are complete, so
/// without a bound the buffer grows for as long as a client sends them.
class RequestParser {
public:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    explicit RequestParser(const ServerLimits& limits);
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// @brief Parses the head; consumes the bytes of the buffer that are no longer needed.
    /// @return An error if the bytes cannot be the begin of a request; `boost::beast::http::error::header_limit` if a
    /// part is longer than its limit. No error if more bytes are needed.
    boost::system::error_code parseHead(boost::beast::flat_buffer& buffer);
    /// @brief Like `parseHead`, for the rest of the request.
    boost::system::error_code parseBody(boost::beast::flat_buffer& buffer);
    /// @brief Returns the error for the end of the input before the end of the request.
    boost::system::error_code endOfInput() const;
    bool isHeadDone() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }
    /// @brief Returns the body as far as it was received.
    std::size_t bodyBytes() const { return m_parser.get().body().size(); }
    /// @brief Returns the length of the body that the head announces; 0 if it announces none.
    std::uint64_t announcedBytes() const { return m_parser.content_length().value_or(0); }
    const Message& message() const { return m_parser.get(); }
    /// @brief Frees the body of a request that is refused.
    void discardBody() { m_parser.get().body() = std::string(); }
    Message release() { return m_parser.release(); }

    /// @brief Returns the size of the read buffer of a connection, in bytes: the limit in force, or the longest part
    /// that has to fit into it.
    static std::size_t bufferBytes(const ServerLimits& limits);

private:
    boost::system::error_code put(boost::beast::flat_buffer& buffer);
    bool exceedsLimit(std::string_view incomplete) const;
    std::size_t fieldBytes() const;

    ServerLimits m_limits;
    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)> m_onChunkHeader;
    std::size_t m_headFieldBytes = 0;
};

} // namespace foxtailwheel::http
