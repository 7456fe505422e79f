#include "RequestParser.h"

#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>
#include <string>

using namespace foxtailwheel;

namespace {

namespace beast = boost::beast;

constexpr std::size_t limit = 64;
const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

http::ServerLimits testLimits()
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 256;
    limits.maxChunkHeaderBytes = limit;
    limits.maxTrailerBytes = limit;
    limits.maxReadBufferBytes = 16;
    return limits;
}

struct Outcome {
    boost::system::error_code error;
    bool done = false;
    std::string body;
    std::size_t largestBuffer = 0;
};

/// Feeds the bytes in pieces of random length as a connection does, and never more than fit into the buffer.
Outcome feed(std::string_view bytes, Random& random)
{
    const auto limits = testLimits();
    http::RequestParser parser(limits);
    beast::flat_buffer buffer;
    Outcome out;
    while (!out.error && !parser.isDone() && !bytes.empty()) {
        const auto room = http::RequestParser::bufferBytes(limits) - buffer.size();
        if (room == 0) {
            out.error = beast::http::error::header_limit;
            break;
        }
        const auto n = std::min({ bytes.size(), room, std::size_t { 1 + random.below(40) } });
        boost::asio::buffer_copy(buffer.prepare(n), boost::asio::buffer(bytes.data(), n));
        buffer.commit(n);
        bytes.remove_prefix(n);
        out.largestBuffer = std::max(out.largestBuffer, buffer.size());
        if (!parser.isHeadDone())
            out.error = parser.parseHead(buffer);
        if (!out.error && parser.isHeadDone() && !parser.isDone())
            out.error = parser.parseBody(buffer);
    }
    out.done = !out.error && parser.isDone();
    out.body = parser.message().body();
    return out;
}

} // namespace

// Guards against bounds that refuse a request inside the limits, depending on where its bytes are cut.
Test(RequestParser, acceptsExtensionsAndTrailersUpToTheirLimitCutAnywhere)
{
    Random random { 1 };
    const std::string extension = ";a=" + std::string(limit - 8, 'x');
    const std::string trailers = "A: " + std::string(20, 'y') + "\r\nB: " + std::string(20, 'z') + "\r\n";
    std::string text = head;
    text.append("4").append(extension).append("\r\nabcd\r\n2\r\nef\r\n0").append(extension).append("\r\n");
    text.append(trailers).append("\r\n");
    for (int i = 0; i < 300; ++i) {
        const auto it = feed(text, random);
        cr_assert(it.done, "round %d: %s", i, it.error.message().c_str());
        cr_assert_eq(it.body, "abcdef");
    }
}

// Guards against a buffer that grows for as long as a client sends a part that no limit counts.
Test(RequestParser, endsPartsThatAreRepeatedWithoutEnd)
{
    Random random { 2 };
    const std::string block(4000, 'x');
    std::string lines;
    while (lines.size() < 4000)
        lines += "X: y\r\n";
    for (const auto& start : { head + "4;", head + "4;a=\"", head + "0;", head + "2\r\nab\r\n0;" }) {
        const auto it = feed(start + block, random);
        cr_assert(it.error == beast::http::error::header_limit, "%s: %s", start.c_str(), it.error.message().c_str());
        cr_assert_leq(it.largestBuffer, http::RequestParser::bufferBytes(testLimits()));
    }
    for (const auto& start : { head + "0\r\n", head + "0;a=b\r\n", head + "1\r\na\r\n0\r\n" }) {
        const auto it = feed(start + lines, random);
        cr_assert(it.error == beast::http::error::header_limit, "%s: %s", start.c_str(), it.error.message().c_str());
    }
    cr_assert(feed("\r\n\r\n\r\n" + lines, random).error, "empty lines before a request are no request");
}

// Guards against bytes that make the parser accept more than the limits, or keep more than its buffer.
Test(RequestParser, keepsItsBoundsForPartsRepeatedAtRandom)
{
    Random random { 3 };
    const std::vector<std::string> parts { "1\r\na\r\n", "4;", "a=b", "\r\n", "0\r\n", "X: y\r\n", "0;x",
        "ffffffff\r\n", std::string(50, 'x'), "a", ";\"" };
    for (int round = 0; round < 2000; ++round) {
        auto bytes = head;
        for (int i = 0; i < 40; ++i)
            bytes += parts.at(random.below(parts.size()));
        const auto it = feed(bytes, random);
        cr_assert_leq(it.largestBuffer, http::RequestParser::bufferBytes(testLimits()));
        cr_assert_leq(it.body.size(), testLimits().maxBodyBytes);
    }
}
