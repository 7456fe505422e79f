#include "foxtailwheel/cli/Place.h"

#include "foxtailwheel/cli/Output.h"
#include "foxtailwheel/http/Message.h"

namespace foxtailwheel::cli {

std::string placeTarget(const PlaceQuery& query)
{
    return "/placement?host=" + http::percentEncode(query.host) + "&path=" + http::percentEncode(query.path, "/")
        + "&prompt=" + http::percentEncode(query.prompt) + "&pieces=" + http::percentEncode(query.pieces);
}

void printPlacement(std::ostream& out, const nlohmann::json& placement)
{
    const auto route = textAt(placement, "route");
    if (route.empty()) {
        out << "no route matches\n";
        return;
    }
    const bool admitted = flagAt(placement, "admitted");
    out << "route " << route << ", service " << textAt(placement, "service") << ", "
        << (admitted ? "admitted" : "refused, retry after " + textAt(placement, "retry_after")) << "\n";
    out << "stages " << textAt(placement, "stages_if_timely") << " (" << textAt(placement, "stages_if_late")
        << " if late), first byte " << textAt(placement, "time_to_first_byte") << ", target "
        << textAt(placement, "latency_target") << "\n";
    printTable(out,
        { { "SERVER", "server" }, { "ZONE", "zone" }, { "STATE", "state" }, { "CHANCE", "probability" },
            { "EXPECTED", "expected" }, { "OWN", "own_calls" }, { "KNOWN", "known_calls" }, { "AGE", "report_age" } },
        arrayAt(placement, "candidates"));
}

} // namespace foxtailwheel::cli
