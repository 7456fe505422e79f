#include "BodyBuffer.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::http {

void BodyBuffer::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_parts.empty() || m_parts.back().size() == partBytes) {
            m_parts.emplace_back();
            // The first part grows as needed, since most bodies are small.
            if (m_parts.size() > 1)
                m_parts.back().reserve(partBytes);
        }
        auto& part = m_parts.back();
        const auto n = std::min(bytes.size(), partBytes - part.size());
        part.append(bytes.substr(0, n));
        bytes.remove_prefix(n);
    }
}

std::string BodyBuffer::take()
{
    auto parts = std::exchange(m_parts, {});
    const auto size = std::exchange(m_size, 0);
    if (parts.size() == 1)
        return std::move(parts.front());
    std::string body;
    body.reserve(size);
    for (auto& it : parts) {
        body += it;
        it = std::string();
    }
    return body;
}

} // namespace foxtailwheel::http
