#pragma once

#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/standin/FaultInjector.h"

#include <functional>
#include <memory>

namespace foxtailwheel::standin {

/// @brief Executes a request and responds as the fault demands.
/// @param execute Executes the request and returns its response; not called if the fault prevents the execution.
void respondWithFault(http::IoPool& pool, const std::shared_ptr<http::Responder>& responder, const Fault& fault,
    const std::function<http::Response()>& execute);

} // namespace foxtailwheel::standin
