#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <system_error>
#include <utility>

namespace foxtailwheel {

/// @brief Error codes that the libraries return as values.
enum class Errc {
    InvalidArgument = 1,
    ParseFailed,
    NotFound,
    Conflict,
    Unreachable,
    TimedOut,
    TooLarge,
    Unauthorized,
    Refused,
    Ambiguous,
    Truncated,
    Cancelled,
    Internal,
};

/// @brief Returns the error category of `Errc` values.
const std::error_category& errorCategory();

/// @brief Converts `e` to a `std::error_code`.
std::error_code make_error_code(Errc e);

/// @brief An error code with a human-readable description.
struct Error {
    std::error_code code;
    std::string detail;

    /// @brief Returns the detail, or the message of the code if the detail is empty.
    std::string message() const { return detail.empty() ? code.message() : detail; }
};

/// @brief A value or an `Error`; accessing the one that is not present terminates the process.
template <class T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief Creates the error of a `Result`.
/// @param e Error code.
/// @param detail Human-readable description.
inline auto fail(Errc e, std::string detail = {})
{
    return boost::outcome_v2::failure(Error { make_error_code(e), std::move(detail) });
}

/// @brief Creates a successful `Result<void>`.
inline auto ok()
{
    return boost::outcome_v2::success();
}

} // namespace foxtailwheel

template <> struct std::is_error_code_enum<foxtailwheel::Errc> : std::true_type {
};
