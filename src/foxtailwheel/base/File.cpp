#include "foxtailwheel/base/File.h"

#include <fstream>
#include <sstream>

namespace foxtailwheel {

Result<std::string> readFile(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream buf;
    buf << file.rdbuf();
    if (!file)
        return fail(Errc::NotFound, "cannot read '" + path + "'");
    return buf.str();
}

} // namespace foxtailwheel
