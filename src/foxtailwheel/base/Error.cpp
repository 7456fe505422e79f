#include "foxtailwheel/base/Error.h"

#include <array>

namespace foxtailwheel {

namespace {

    constexpr std::array messages {
        "success",
        "invalid argument",
        "parse failed",
        "not found",
        "conflict",
        "unreachable",
        "timed out",
        "too large",
        "unauthorized",
        "refused",
        "outcome unknown",
        "ended early",
        "cancelled",
        "internal error",
    };

    class Category final : public std::error_category {
    public:
        const char* name() const noexcept override { return "foxtailwheel"; }
        std::string message(int value) const override
        {
            const auto n = static_cast<std::size_t>(value);
            return n < messages.size() ? messages.at(n) : "unknown error";
        }
    };

} // namespace

const std::error_category& errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Errc e)
{
    return { static_cast<int>(e), errorCategory() };
}

} // namespace foxtailwheel
