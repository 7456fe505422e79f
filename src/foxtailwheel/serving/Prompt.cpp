#include "foxtailwheel/serving/Prompt.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace foxtailwheel::serving {

namespace {

    /// Begins the ID of a text that is not kept; `s` is no hexadecimal digit.
    constexpr std::string_view hashPrefix = "sha256-";
    constexpr std::size_t hashDigits = 64;
    constexpr std::size_t maxKeptDigits = 64;
    constexpr int hexadecimal = 16;

    bool isHexadecimal(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        });
    }

} // namespace

PromptPartId makePromptPartId(std::string_view text)
{
    if (text.size() <= maxKeptDigits && isHexadecimal(text))
        return PromptPartId(std::string(text));
    return PromptPartId(std::string(hashPrefix) + sha256Hex(text));
}

bool isPromptPartId(std::string_view text)
{
    if (text.starts_with(hashPrefix)) {
        text.remove_prefix(hashPrefix.size());
        return text.size() == hashDigits && isHexadecimal(text);
    }
    return text.size() <= maxKeptDigits && isHexadecimal(text);
}

PromptPartId promptPartIdOf(std::uint64_t number)
{
    std::array<char, sizeof number * 2> digits {};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return PromptPartId(std::string(digits.data(), end));
}

std::optional<std::uint64_t> toNumber(const PromptPartId& id)
{
    const auto& text = id.value();
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    // Upper-case digits, leading zeros and longer texts differ from the text of the number.
    if (ec != std::errc() || end != text.data() + text.size() || promptPartIdOf(number) != id)
        return std::nullopt;
    return number;
}

std::uint64_t affinityKeyOf(const PromptPartId& id)
{
    return toNumber(id).value_or(hashOf(id.value()));
}

} // namespace foxtailwheel::serving
