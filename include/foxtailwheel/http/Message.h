#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::http {

/// @brief One header field.
struct Header {
    std::string name;
    std::string value;
};

/// @brief Header fields in their order.
using Headers = std::vector<Header>;

/// @brief The value of the first field called `name`, case aside; empty where there is none.
std::string_view findHeader(const Headers& headers, std::string_view name);

/// @brief A request.
struct Request {
    std::string method;
    std::string target; ///< Path and query.
    Headers headers;
    std::string body;

    /// @brief The target without its query.
    std::string_view path() const;
    /// @brief A value of the query, percent-decoded; empty where it is missing.
    std::string query(std::string_view name) const;
};

/// @brief A response, or the head of one.
struct Response {
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// @brief Percent-encodes `text` for a query.
std::string percentEncode(std::string_view text);

} // namespace foxtailwheel::http
