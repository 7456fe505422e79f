#include "foxtailwheel/config/YamlReader.h"

#include "foxtailwheel/config/Settings.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;

namespace {

/// Ten levels of lists of ten aliases each.
std::string nestedAliases()
{
    std::string text = "l0: &l0 [x]\n";
    for (int i = 1; i <= 10; ++i) {
        const auto previous = "*l" + std::to_string(i - 1);
        text += "l" + std::to_string(i) + ": &l" + std::to_string(i) + " [" + previous;
        for (int n = 1; n < 10; ++n)
            text += ", " + previous;
        text += "]\n";
    }
    return text;
}

} // namespace

Test(YamlReader, oddTextIsReportedAsAFault)
{
    std::string nestedMaps;
    for (std::size_t depth = 0; depth < 2000; ++depth)
        nestedMaps += std::string(depth, ' ') + "a:\n";
    for (const std::string& text : { std::string(100000, '['), "a: " + std::string(100000, '['),
             "a: " + std::string(5000, '[') + std::string(5000, ']'), std::string(100000, '{'), std::string(20000, '-'),
             nestedMaps, nestedAliases(), std::string("a: &a [*a]\nb: &b { c: *b }\n"), std::string("a: *b\n"),
             std::string("\xff\xfe\xff"), std::string("a: \xff\n"), std::string("? [a]\n: b\n"),
             std::string("a: !!x b\n") })
        cr_assert(!config::parseSettings(text).faults.empty());
}
