#include "foxtailwheel/base/Allocator.h"
#include "foxtailwheel/base/File.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/daemon/Instance.h"
#include "foxtailwheel/telemetry/Log.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace foxtailwheel;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitRequestsAborted = 3;

int run(const std::string& path, bool checkOnly)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << "foxtailwheeld: " << text.error().message() << "\n";
        return exitUsage;
    }
    auto parsed = config::parseSettings(text.value());
    if (!parsed.valid()) {
        std::cerr << path << ":\n" << config::describe(parsed.faults);
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return exitOk;
    }
    telemetry::configureLog(parsed.settings.logLevel);
    auto instance = daemon::Instance::start(std::move(parsed.settings));
    if (!instance.has_value()) {
        telemetry::logError("cannot_start", { { "detail", instance.error().message() } });
        return exitFailed;
    }
    return instance.value()->waitUntilStopped() == 0 ? exitOk : exitRequestsAborted;
}

} // namespace

int main(int argc, char** argv)
{
    returnLargeBlocksWhenFreed();
    cxxopts::Options options("foxtailwheeld",
        "Instance of the foxtailwheel serving system.\n"
        "Exit codes: 0 graceful shutdown, 1 startup failed, 2 invalid settings, 3 requests were aborted.\n"
        "SIGTERM starts a graceful shutdown; a second SIGTERM aborts the requests in progress.\n");
    options.add_options()("s,settings", "settings file of this instance (YAML)", cxxopts::value<std::string>())(
        "check-settings", "check the settings and exit")("h,help", "print this help");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help() << "\nExample:\n  foxtailwheeld --settings /etc/foxtailwheel/instance.yaml\n";
            return exitOk;
        }
        if (args.count("settings") == 0) {
            std::cerr << "foxtailwheeld: missing option --settings\n";
            return exitUsage;
        }
        return run(args["settings"].as<std::string>(), args.count("check-settings") > 0);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "foxtailwheeld: " << ex.what() << "\n";
        return exitUsage;
    }
}
