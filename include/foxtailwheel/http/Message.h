#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::http {

/// @brief A header field.
struct Header {
    std::string name;
    std::string value;
};

/// @brief Field by which a client recognizes the response to its request on a reused connection: a server repeats its
/// value in the response.
constexpr std::string_view identityField = "Request-Id";

/// @brief Header fields, in order.
using Headers = std::vector<Header>;

/// @brief Returns the value of the first field with this name, compared case-insensitively; empty if there is none.
std::string_view findHeader(const Headers& headers, std::string_view name);
/// @brief Returns the values of all fields with this name as one comma-separated list (RFC 9110, section 5.3).
std::string joinHeaders(const Headers& headers, std::string_view name);

/// @brief An HTTP request.
struct Request {
    std::string method;
    std::string target; ///< Path and query.
    Headers headers;
    std::string body;

    /// @brief Returns the target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
    /// @brief Returns a percent-decoded query parameter; empty if it is missing.
    std::string query(std::string_view name) const;
};

/// @brief An HTTP response, or its status and headers only.
struct Response {
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// @brief Percent-encodes `text` for use in a path segment or query.
/// @param kept Reserved characters that are left as they are.
std::string percentEncode(std::string_view text, std::string_view kept = {});

} // namespace foxtailwheel::http
