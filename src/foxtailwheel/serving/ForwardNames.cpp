#include "RoutingForwarder.h"

namespace foxtailwheel::serving {

std::string formatInteger(double n)
{
    return std::to_string(static_cast<long>(n));
}

std::string formatSharedParts(const std::vector<PromptPart>& prompt)
{
    std::string text;
    for (const auto& it : sharedParts(prompt))
        text += (text.empty() ? "" : ",") + it.id.value();
    return text;
}

unsigned httpStatus(ForwardOutcome outcome)
{
    switch (outcome) {
    case ForwardOutcome::NoRoute:
        return 404;
    case ForwardOutcome::BadCredential:
        return 401;
    case ForwardOutcome::BadRequest:
        return 400;
    case ForwardOutcome::BackendFailed:
        return 502;
    case ForwardOutcome::TimedOut:
        return 504;
    default:
        return 503;
    }
}

bool meansNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view toString(ForwardOutcome outcome)
{
    switch (outcome) {
    case ForwardOutcome::Answered:
        return "answered";
    case ForwardOutcome::NoConfiguration:
        return "no_configuration";
    case ForwardOutcome::InvalidConfiguration:
        return "invalid_configuration";
    case ForwardOutcome::NoRoute:
        return "no_route";
    case ForwardOutcome::UnknownStage:
        return "unknown_stage";
    case ForwardOutcome::BadCredential:
        return "bad_credential";
    case ForwardOutcome::CredentialsOutdated:
        return "credentials_outdated";
    case ForwardOutcome::BadRequest:
        return "bad_request";
    case ForwardOutcome::NoServer:
        return "no_server";
    case ForwardOutcome::Overloaded:
        return "overloaded";
    case ForwardOutcome::StageFailed:
        return "stage_failed";
    case ForwardOutcome::NoServerInRegion:
        return "no_server_in_region";
    case ForwardOutcome::ZonesDrained:
        return "zones_drained";
    case ForwardOutcome::ServersPaused:
        return "servers_paused";
    case ForwardOutcome::CrashesServers:
        return "crashes_servers";
    case ForwardOutcome::NotStarted:
        return "not_started";
    case ForwardOutcome::BackendFailed:
        return "backend_failed";
    case ForwardOutcome::TimedOut:
        return "timed_out";
    case ForwardOutcome::TimedOutWaiting:
        return "timed_out_waiting";
    case ForwardOutcome::CallerDisconnected:
        return "caller_left";
    case ForwardOutcome::StreamBroken:
        return "stream_broken";
    case ForwardOutcome::ShuttingDown:
        return "shutting_down";
    }
    return "unknown";
}

std::string_view toString(ForwardCallOutcome outcome)
{
    switch (outcome) {
    case ForwardCallOutcome::Complete:
        return "complete";
    case ForwardCallOutcome::Undelimited:
        return "undelimited";
    case ForwardCallOutcome::NotSent:
        return "not_sent";
    case ForwardCallOutcome::Refused:
        return "refused";
    case ForwardCallOutcome::Misdirected:
        return "misdirected";
    case ForwardCallOutcome::InputMissing:
        return "input_gone";
    case ForwardCallOutcome::TimedOut:
        return "timed_out";
    case ForwardCallOutcome::BrokenInHead:
        return "broken_in_head";
    case ForwardCallOutcome::Broken:
        break;
    }
    return "broken";
}

} // namespace foxtailwheel::serving
