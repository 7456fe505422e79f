#include "foxtailwheel/base/TextDelta.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <unordered_map>

namespace foxtailwheel {

namespace {

    /// Shorter ranges of the old text are not looked for. Texts made of similar items repeat shorter ones in each item.
    constexpr std::size_t blockBytes = 128;

    std::unordered_map<std::uint64_t, std::size_t> indexBlocks(std::string_view text)
    {
        std::unordered_map<std::uint64_t, std::size_t> offsets;
        for (std::size_t i = 0; i + blockBytes <= text.size(); i += blockBytes)
            offsets.emplace(hashOf(text.substr(i, blockBytes)), i);
        return offsets;
    }

    std::size_t commonPrefix(std::string_view left, std::string_view right)
    {
        const auto n = std::min(left.size(), right.size());
        return static_cast<std::size_t>(
            std::mismatch(left.begin(), left.begin() + n, right.begin()).first - left.begin());
    }

} // namespace

TextDelta makeDelta(std::string_view before, std::string_view after)
{
    TextDelta delta;
    delta.hash = hashOf(after);
    const auto offsets = indexBlocks(before);
    std::size_t next = commonPrefix(before, after); // First byte of `after` that no range covers.
    std::size_t offset = next; // End of the last range in `before`.
    delta.copies.push_back({ 0, next, 0 });
    const auto addRange = [&](std::size_t at, std::size_t from, std::size_t size) {
        delta.copies.back().newBytes = at - next;
        delta.added += after.substr(next, at - next);
        delta.copies.push_back({ from, size, 0 });
        next = at + size;
        offset = from + size;
    };
    for (std::size_t i = next; i + blockBytes <= after.size();) {
        const auto rest = after.substr(i);
        // Bytes that were replaced by as many others continue at the same distance.
        auto from = offset + (i - next);
        std::size_t size = from < before.size() ? commonPrefix(before.substr(from), rest) : 0;
        if (size < blockBytes) {
            const auto it = offsets.find(hashOf(rest.substr(0, blockBytes)));
            from = it == offsets.end() ? 0 : it->second;
            size = it == offsets.end() ? 0 : commonPrefix(before.substr(from), rest);
        }
        if (size < blockBytes) {
            ++i;
            continue;
        }
        addRange(i, from, size);
        i = next;
    }
    delta.copies.back().newBytes = after.size() - next;
    delta.added += after.substr(next);
    return delta;
}

Result<std::string> applyDelta(std::string_view before, const TextDelta& delta)
{
    const auto conflict = [] { return fail(Errc::Conflict, "the delta was made for a different text"); };
    std::string after;
    std::size_t used = 0;
    for (const auto& it : delta.copies) {
        if (it.offset > before.size() || it.size > before.size() - it.offset || it.newBytes > delta.added.size() - used)
            return conflict();
        after += before.substr(it.offset, it.size);
        after += std::string_view(delta.added).substr(used, it.newBytes);
        used += it.newBytes;
    }
    if (hashOf(after) != delta.hash)
        return conflict();
    return after;
}

} // namespace foxtailwheel
