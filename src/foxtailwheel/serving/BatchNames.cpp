#include "foxtailwheel/serving/BatchQueue.h"

namespace foxtailwheel::serving {

std::string_view toString(PieceFailure failure)
{
    switch (failure) {
    case PieceFailure::Late:
        return "late";
    case PieceFailure::InputGone:
        return "input_gone";
    case PieceFailure::NoRoom:
        return "no_room";
    case PieceFailure::OwnerChanged:
        return "moved";
    case PieceFailure::Failed:
        break;
    }
    return "failed";
}

std::string_view toString(BatchEnd end)
{
    switch (end) {
    case BatchEnd::Answered:
        return "answered";
    case BatchEnd::NotRun:
        return "not_run";
    case BatchEnd::Unreachable:
        return "unreachable";
    case BatchEnd::Broken:
        break;
    }
    return "broken";
}

} // namespace foxtailwheel::serving
