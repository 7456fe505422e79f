#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <system_error>
#include <utility>

namespace foxtailwheel {

/// @brief Kinds of failure that the libraries report as values.
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

/// @brief Category of `Errc` values.
const std::error_category& errorCategory();

/// @brief Makes a standard error code of `e`.
std::error_code make_error_code(Errc e);

/// @brief A failure: its code and a sentence for people.
struct Error {
    std::error_code code;
    std::string detail;

    /// @brief The detail, or the text of the code where there is none.
    std::string message() const { return detail.empty() ? code.message() : detail; }
};

/// @brief A value or an `Error`; reading the wrong side stops the process.
template <class T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief Makes the failed side of a `Result`.
/// @param e Kind of failure.
/// @param detail Sentence for people.
inline auto fail(Errc e, std::string detail = {})
{
    return boost::outcome_v2::failure(Error { make_error_code(e), std::move(detail) });
}

/// @brief The succeeded side of a `Result<void>`.
inline auto ok()
{
    return boost::outcome_v2::success();
}

} // namespace foxtailwheel

template <> struct std::is_error_code_enum<foxtailwheel::Errc> : std::true_type {
};
