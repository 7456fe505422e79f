#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::http {

/// @brief Body that is being received, in parts of a fixed size. A single string would double its memory as it grows,
/// and need both the old and the new memory meanwhile.
class BodyBuffer {
public:
    /// @brief Bytes of a part.
    static constexpr std::size_t partBytes = std::size_t { 64 } << 10U;

    void append(std::string_view bytes);
    std::size_t size() const { return m_size; }
    /// @brief Returns the whole body and empties the buffer.
    std::string take();

private:
    std::vector<std::string> m_parts;
    std::size_t m_size = 0;
};

} // namespace foxtailwheel::http
