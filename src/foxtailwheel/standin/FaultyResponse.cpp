#include "FaultyResponse.h"

namespace foxtailwheel::standin {

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
    case FaultKind::Late:
        pool.postAfter(fault.delay, [responder, response = execute()] { responder->respond(response); });
        return;
    }
}

} // namespace foxtailwheel::standin
