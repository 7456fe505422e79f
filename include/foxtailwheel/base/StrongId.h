#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace foxtailwheel {

/// @brief A string identifier whose type differs for each `Tag`, so that identifiers of different kinds cannot be
/// confused.
/// @tparam Tag An incomplete type that names the kind.
template <class Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    std::string m_value;
};

/// @brief An unsigned integer whose type differs for each `Tag`, so that numbers of different kinds cannot be confused.
/// @tparam Tag An incomplete type that names the kind.
template <class Tag> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    friend constexpr bool operator==(StrongNumber, StrongNumber) = default;
    friend constexpr auto operator<=>(StrongNumber, StrongNumber) = default;
    friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.m_value; }

private:
    std::uint64_t m_value = 0;
};

} // namespace foxtailwheel

/// @brief Hash support, so that identifiers can be keys of unordered containers.
template <class Tag> struct std::hash<foxtailwheel::StrongId<Tag>> {
    std::size_t operator()(const foxtailwheel::StrongId<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};

/// @brief Hash support, so that numbers can be keys of unordered containers.
template <class Tag> struct std::hash<foxtailwheel::StrongNumber<Tag>> {
    std::size_t operator()(const foxtailwheel::StrongNumber<Tag>& n) const noexcept
    {
        return std::hash<std::uint64_t> {}(n.value());
    }
};
