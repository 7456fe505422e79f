#include "foxtailwheel/base/File.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/config/Quantity.h"
#include "foxtailwheel/standin/Backend.h"

#include <algorithm>
#include <condition_variable>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <stdexcept>

namespace {

using namespace foxtailwheel;
using StandIns = std::vector<std::unique_ptr<standin::StandIn>>;

constexpr unsigned maxThreads = 64;

/// An option has a value that cannot be used.
class OptionError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

config::Endpoint endpointOption(const cxxopts::ParseResult& args, const std::string& name)
{
    const auto text = args[name].as<std::string>();
    config::Endpoint endpoint;
    if (!config::parseEndpoint(text, endpoint))
        throw OptionError("--" + name + ": '" + text + "' is not an address IP:PORT");
    return endpoint;
}

Duration durationOption(const cxxopts::ParseResult& args, const std::string& name)
{
    const auto text = args[name].as<std::string>();
    const auto d = config::parseDuration(text);
    if (!d.has_value())
        throw OptionError("--" + name + ": '" + text + "' is not a duration such as 5ms or 2s");
    return d.value();
}

double rateOption(const cxxopts::ParseResult& args, const std::string& name)
{
    const auto rate = args[name].as<double>();
    if (!(rate > 0))
        throw OptionError("--" + name + ": the rate must be positive");
    return rate;
}

unsigned threadsOption(const cxxopts::ParseResult& args)
{
    const auto threads = args["threads"].as<unsigned>();
    if (threads == 0 || threads > maxThreads)
        throw OptionError("--threads: between 1 and " + std::to_string(maxThreads));
    return threads;
}

/// Adds a stand-in that started; prints the error and returns false if it did not start.
bool addStandIn(Result<std::unique_ptr<standin::StandIn>> started, StandIns& standIns)
{
    if (!started.has_value()) {
        std::cerr << "foxtailwheel-standins: " << started.error().message() << "\n";
        return false;
    }
    standIns.push_back(std::move(started).value());
    return true;
}

bool startBackends(http::IoPool& pool, const cxxopts::ParseResult& args, StandIns& standIns)
{
    const auto text = readFile(args["declarations"].as<std::string>());
    if (!text) {
        std::cerr << "foxtailwheel-standins: " << text.error().message() << "\n";
        return false;
    }
    const auto parsed = config::parseDeclarations(text.value());
    if (!parsed.valid()) {
        std::cerr << config::describe(parsed.faults);
        return false;
    }
    const auto only = args.count("only") > 0 ? args["only"].as<std::vector<std::string>>() : std::vector<std::string>();
    for (const auto& service : parsed.declarations.services) {
        for (const auto& server : service.servers) {
            const bool isSelected
                = only.empty() || std::find(only.begin(), only.end(), server.id.value()) != only.end();
            if (isSelected
                && !addStandIn(
                    standin::startBackend(pool,
                        { service, server, durationOption(args, "call-time"), durationOption(args, "token-time") }),
                    standIns))
                return false;
        }
    }
    return true;
}

void waitForSignal(http::IoPool& pool)
{
    std::mutex mutex;
    std::condition_variable signalled;
    bool stop = false;
    pool.onTerminate([&](int) {
        const std::lock_guard lock(mutex);
        stop = true;
        signalled.notify_all();
    });
    std::unique_lock lock(mutex);
    signalled.wait(lock, [&] { return stop; });
}

int run(const cxxopts::ParseResult& args)
{
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(threadsOption(args));
    StandIns standIns;
    bool started = true;
    if (args.count("table") > 0)
        started = started
            && addStandIn(standin::startTable(*pool, *clock,
                              { endpointOption(args, "table"), rateOption(args, "reads"), rateOption(args, "writes") }),
                standIns);
    if (args.count("list") > 0)
        started = started
            && addStandIn(standin::startInstanceList(
                              *pool, *clock, endpointOption(args, "list"), durationOption(args, "list-lag")),
                standIns);
    if (args.count("weights") > 0)
        started = started
            && addStandIn(standin::startWeightStore(*pool, *clock, endpointOption(args, "weights"), 1), standIns);
    if (args.count("declarations") > 0)
        started = started && startBackends(*pool, args, standIns);
    if (started) {
        std::cout << "running " << standIns.size() << " stand-ins" << std::endl;
        waitForSignal(*pool);
    }
    pool->stop();
    return started ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "foxtailwheel-standins", "Stand-ins (test doubles) for the services of the platform and for backend servers.");
    options.add_options()("table", "address of the table service to start", cxxopts::value<std::string>())(
        "list", "address of the instance list to start", cxxopts::value<std::string>())(
        "weights", "address of the weight store to start", cxxopts::value<std::string>())(
        "declarations", "start a stand-in for each backend server declared here", cxxopts::value<std::string>())(
        "only", "names of the backend servers to start", cxxopts::value<std::vector<std::string>>())(
        "call-time", "duration of one call", cxxopts::value<std::string>()->default_value("5ms"))(
        "token-time", "duration of one token", cxxopts::value<std::string>()->default_value("1ms"))(
        "list-lag", "delay until the instance list shows a change", cxxopts::value<std::string>()->default_value("1s"))(
        "reads", "reads per second served by the table", cxxopts::value<double>()->default_value("2000"))(
        "writes", "writes per second served by the table", cxxopts::value<double>()->default_value("500"))("threads",
        "number of I/O threads", cxxopts::value<unsigned>()->default_value("2"))("h,help", "print this help");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(args);
    } catch (const std::exception& ex) {
        std::cerr << "foxtailwheel-standins: " << ex.what() << "\n";
        return 2;
    }
}
