#include "RoutingForwarder.h"

namespace foxtailwheel::serving {

std::string formatInteger(double n)
{
    return std::to_string(static_cast<long>(n));
}

unsigned httpStatus(ForwardEnd outcome)
{
    switch (outcome) {
    case ForwardEnd::NoRoute:
        return 404;
    case ForwardEnd::BadCredential:
        return 401;
    case ForwardEnd::BadRequest:
        return 400;
    case ForwardEnd::BackendFailed:
        return 502;
    case ForwardEnd::TimedOut:
        return 504;
    default:
        return 503;
    }
}

std::string_view toString(ForwardEnd outcome)
{
    switch (outcome) {
    case ForwardEnd::Answered:
        return "answered";
    case ForwardEnd::NoConfiguration:
        return "no_configuration";
    case ForwardEnd::NoRoute:
        return "no_route";
    case ForwardEnd::BadCredential:
        return "bad_credential";
    case ForwardEnd::CredentialsOutdated:
        return "credentials_outdated";
    case ForwardEnd::BadRequest:
        return "bad_request";
    case ForwardEnd::NoServer:
        return "no_server";
    case ForwardEnd::Overloaded:
        return "overloaded";
    case ForwardEnd::StageFailed:
        return "stage_failed";
    case ForwardEnd::NotStarted:
        return "not_started";
    case ForwardEnd::BackendFailed:
        return "backend_failed";
    case ForwardEnd::TimedOut:
        return "timed_out";
    case ForwardEnd::TimedOutWaiting:
        return "timed_out_waiting";
    case ForwardEnd::CallerLeft:
        return "caller_left";
    case ForwardEnd::StreamBroken:
        return "stream_broken";
    case ForwardEnd::ShuttingDown:
        return "shutting_down";
    }
    return "unknown";
}

std::string_view toString(ForwardCallEnd outcome)
{
    switch (outcome) {
    case ForwardCallEnd::Complete:
        return "complete";
    case ForwardCallEnd::NotSent:
        return "not_sent";
    case ForwardCallEnd::Refused:
        return "refused";
    case ForwardCallEnd::Misdirected:
        return "misdirected";
    case ForwardCallEnd::InputGone:
        return "input_gone";
    case ForwardCallEnd::TimedOut:
        return "timed_out";
    case ForwardCallEnd::Broken:
        break;
    }
    return "broken";
}

} // namespace foxtailwheel::serving
