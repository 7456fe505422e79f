#include "BodyBuffer.h"

#include <criterion/criterion.h>

using foxtailwheel::http::BodyBuffer;

Test(BodyBuffer, returnsWhatWasAppended)
{
    for (const std::size_t chunk : { std::size_t { 1 }, std::size_t { 1000 }, 3 * BodyBuffer::partBytes }) {
        BodyBuffer buffer;
        std::string expected;
        while (expected.size() <= 2 * BodyBuffer::partBytes) {
            const std::string bytes(chunk, static_cast<char>('a' + expected.size() % 23));
            buffer.append(bytes);
            expected += bytes;
            cr_assert_eq(buffer.size(), expected.size());
        }
        cr_assert(buffer.take() == expected);
        cr_assert_eq(buffer.size(), 0);
        cr_assert(buffer.take().empty());
    }
}
