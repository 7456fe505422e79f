#include "FaultyResponse.h"

#include <sstream>

namespace foxtailwheel::standin {

namespace {

    std::string formatSeconds(Duration d)
    {
        std::ostringstream text;
        text << toSeconds(d);
        return text.str();
    }

} // namespace

void respondWithFault(http::IoPool& pool, const std::shared_ptr<http::Responder>& responder, const Fault& fault,
    const std::function<http::Response()>& execute)
{
    switch (fault.kind) {
    case FaultKind::Refuse:
        responder->respond({ 503, {}, "unavailable" });
        return;
    case FaultKind::Fail:
        responder->respond({ 500, {}, "failed" });
        return;
    case FaultKind::CloseBefore:
        responder->abort();
        return;
    case FaultKind::CloseMiddle: {
        const auto response = execute();
        responder->beginStream({ response.status, response.headers, {} });
        responder->write(response.body.substr(0, response.body.size() / 2));
        responder->abort();
        return;
    }
    case FaultKind::CloseAfter:
        execute();
        responder->abort();
        return;
    case FaultKind::Silent:
        execute();
        return;
    case FaultKind::Leaving: {
        auto response = execute();
        response.headers.push_back({ "X-Leaving", "1" });
        responder->respond(std::move(response));
        return;
    }
    case FaultKind::Pause:
        responder->respond(
            { 503, { { "X-Not-Started", "1" }, { "Retry-After", formatSeconds(fault.delay) } }, "paused" });
        return;
    case FaultKind::Late:
        pool.postAfter(fault.delay, [responder, response = execute()] { responder->respond(response); });
        return;
    }
}

} // namespace foxtailwheel::standin
