#include "RequestParser.h"

#include <algorithm>

namespace foxtailwheel::http {

namespace beast = boost::beast;
namespace bhttp = beast::http;

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    /// Line ends around a chunk header: the end of the chunk before, its own, and the end of the trailers.
    constexpr std::size_t lineEndBytes = 3 * lineEnd.size();

} // namespace

RequestParser::RequestParser(const ServerLimits& limits)
    : m_limits(limits)
    , m_onChunkHeader([this](std::uint64_t /*size*/, beast::string_view extensions, boost::system::error_code& ec) {
        if (extensions.size() > m_limits.maxChunkHeaderBytes)
            ec = bhttp::error::header_limit;
    })
{
    m_parser.header_limit(limits.maxHeaderBytes);
    m_parser.body_limit(limits.maxBodyBytes);
    m_parser.on_chunk_header(m_onChunkHeader);
}

std::size_t RequestParser::bufferBytes(const ServerLimits& limits)
{
    const std::size_t chunkBytes = std::size_t { limits.maxChunkHeaderBytes } + limits.maxTrailerBytes + lineEndBytes;
    return std::max<std::size_t>({ limits.maxReadBufferBytes, limits.maxHeaderBytes, chunkBytes + 1 });
}

boost::system::error_code RequestParser::put(beast::flat_buffer& buffer)
{
    boost::system::error_code ec;
    buffer.consume(m_parser.put(buffer.data(), ec));
    return ec == bhttp::error::need_more ? boost::system::error_code() : ec;
}

boost::system::error_code RequestParser::parseHead(beast::flat_buffer& buffer)
{
    m_parser.eager(false);
    const auto ec = put(buffer);
    if (!ec && isHeadDone())
        m_headFieldBytes = fieldBytes();
    return ec;
}

boost::system::error_code RequestParser::parseBody(beast::flat_buffer& buffer)
{
    m_parser.eager(true);
    if (const auto ec = put(buffer))
        return ec;
    if (isDone())
        return fieldBytes() - m_headFieldBytes > m_limits.maxTrailerBytes ? bhttp::error::header_limit
                                                                          : boost::system::error_code();
    const std::string_view rest(static_cast<const char*>(buffer.data().data()), buffer.size());
    if (m_parser.chunked() && exceedsLimit(rest))
        return bhttp::error::header_limit;
    return {};
}

boost::system::error_code RequestParser::endOfInput() const
{
    return m_parser.got_some() ? bhttp::error::partial_message : bhttp::error::end_of_stream;
}

/// Returns true if an incomplete chunk header, or the trailers that follow the last one, are too long.
bool RequestParser::exceedsLimit(std::string_view incomplete) const
{
    if (incomplete.starts_with(lineEnd))
        incomplete.remove_prefix(lineEnd.size());
    if (incomplete.size() <= std::min(m_limits.maxChunkHeaderBytes, m_limits.maxTrailerBytes))
        return false;
    const auto headerEnd = std::min(incomplete.find(lineEnd), incomplete.size());
    const auto trailerBytes = incomplete.size() - std::min(headerEnd + lineEnd.size(), incomplete.size());
    return headerEnd > m_limits.maxChunkHeaderBytes || trailerBytes > m_limits.maxTrailerBytes;
}

std::size_t RequestParser::fieldBytes() const
{
    std::size_t n = 0;
    for (const auto& it : m_parser.get())
        n += it.name_string().size() + it.value().size();
    return n;
}

} // namespace foxtailwheel::http
