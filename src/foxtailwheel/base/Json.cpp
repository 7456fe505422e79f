#include "foxtailwheel/base/Json.h"

#include <algorithm>

namespace foxtailwheel {

namespace {

    /// Counts brackets outside of strings; for valid JSON this is the depth.
    bool isNestedTooDeeply(std::string_view text)
    {
        std::size_t depth = 0;
        bool inString = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (c == '"')
                inString = !inString;
            else if (inString)
                i += c == '\\' ? 1 : 0;
            else if ((c == '[' || c == '{') && ++depth > maxJsonDepth)
                return true;
            else if (c == ']' || c == '}')
                depth -= std::min<std::size_t>(depth, 1);
        }
        return false;
    }

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

bool isJson(std::string_view text)
{
    return !isNestedTooDeeply(text) && nlohmann::json::accept(text);
}

} // namespace foxtailwheel
