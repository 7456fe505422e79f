#include "foxtailwheel/base/File.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>

using namespace foxtailwheel;

Test(File, readsWholeFile)
{
    const std::string path = std::tmpnam(nullptr);
    std::ofstream(path) << "one\ntwo";
    const auto text = readFile(path);
    std::remove(path.c_str());
    cr_assert_eq(text.value(), "one\ntwo");
}

Test(File, reportsPathOfMissingFile)
{
    const auto text = readFile("/no/such/file");
    cr_assert(!text);
    cr_assert_eq(text.error().message(), "cannot read '/no/such/file'");
}
