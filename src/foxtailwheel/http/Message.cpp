#include "foxtailwheel/http/Message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace foxtailwheel::http {

namespace {

    bool equalsIgnoreCase(std::string_view a, std::string_view b)
    {
        const auto lower = [](unsigned char c) { return std::tolower(c); };
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) {
            return lower(static_cast<unsigned char>(x)) == lower(static_cast<unsigned char>(y));
        });
    }

    std::string percentDecode(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned n = 0;
            const auto* digits = text.data() + i + 1;
            if (text[i] == '%' && i + 2 < text.size() && std::from_chars(digits, digits + 2, n, 16).ptr == digits + 2) {
                out.push_back(static_cast<char>(n));
                i += 2;
            } else {
                out.push_back(text[i]);
            }
        }
        return out;
    }

} // namespace

std::string_view findHeader(const Headers& headers, std::string_view name)
{
    const auto it = std::find_if(
        headers.begin(), headers.end(), [name](const Header& h) { return equalsIgnoreCase(h.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

std::string joinHeaders(const Headers& headers, std::string_view name)
{
    std::string list;
    for (const auto& it : headers) {
        if (equalsIgnoreCase(it.name, name))
            list += (list.empty() ? "" : ",") + it.value;
    }
    return list;
}

std::string Request::query(std::string_view name) const
{
    const auto queryStart = target.find('?');
    std::string_view rest
        = queryStart == std::string::npos ? std::string_view() : std::string_view(target).substr(queryStart + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return equals == pair.size() ? std::string() : percentDecode(pair.substr(equals + 1));
        rest = end == rest.size() ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

std::string percentEncode(std::string_view text, std::string_view kept)
{
    std::string out;
    for (const char c : text) {
        const auto n = static_cast<unsigned char>(c);
        const bool isUnreserved = std::isalnum(n) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
        if (isUnreserved || kept.find(c) != std::string_view::npos) {
            out.push_back(c);
            continue;
        }
        out.push_back('%');
        out.push_back("0123456789ABCDEF"[n >> 4U]);
        out.push_back("0123456789ABCDEF"[n & 15U]);
    }
    return out;
}

} // namespace foxtailwheel::http
