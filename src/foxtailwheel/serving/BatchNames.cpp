#include "foxtailwheel/serving/BatchQueue.h"

namespace foxtailwheel::serving {

std::string_view toString(PieceFailure failure)
{
    switch (failure) {
    case PieceFailure::DeadlineExceeded:
        return "late";
    case PieceFailure::InputMissing:
        return "input_gone";
    case PieceFailure::NoCapacity:
        return "no_room";
    case PieceFailure::OwnerChanged:
        return "moved";
    case PieceFailure::ServiceUnknown:
        return "service_unknown";
    case PieceFailure::ZonesDrained:
        return "zones_drained";
    case PieceFailure::Failed:
        break;
    }
    return "failed";
}

std::string_view toString(BatchOutcome outcome)
{
    switch (outcome) {
    case BatchOutcome::Answered:
        return "answered";
    case BatchOutcome::NotStarted:
        return "not_run";
    case BatchOutcome::Unreachable:
        return "unreachable";
    case BatchOutcome::Broken:
        break;
    }
    return "broken";
}

} // namespace foxtailwheel::serving
