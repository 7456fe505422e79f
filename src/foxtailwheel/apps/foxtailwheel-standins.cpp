#include "foxtailwheel/base/File.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/config/Quantity.h"
#include "foxtailwheel/standin/Backend.h"

#include <algorithm>
#include <condition_variable>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>

namespace {

using namespace foxtailwheel;
using StandIns = std::vector<std::unique_ptr<standin::StandIn>>;

config::Endpoint toEndpoint(const std::string& text)
{
    config::Endpoint endpoint;
    config::parseEndpoint(text, endpoint);
    return endpoint;
}

Duration durationOption(const cxxopts::ParseResult& args, const std::string& name)
{
    const auto d = config::parseDuration(args[name].as<std::string>());
    return d.has_value() ? d.value() : Duration {};
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
    const auto pool = http::IoPool::create(args["threads"].as<unsigned>());
    StandIns standIns;
    bool started = true;
    if (args.count("table") > 0)
        started = started
            && addStandIn(standin::startTable(*pool, *clock,
                              { toEndpoint(args["table"].as<std::string>()), args["reads"].as<double>(),
                                  args["writes"].as<double>() }),
                standIns);
    if (args.count("list") > 0)
        started = started
            && addStandIn(standin::startInstanceList(*pool, *clock, toEndpoint(args["list"].as<std::string>()),
                              durationOption(args, "list-lag")),
                standIns);
    if (args.count("weights") > 0)
        started = started
            && addStandIn(
                standin::startWeightStore(*pool, *clock, toEndpoint(args["weights"].as<std::string>()), 1), standIns);
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
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "foxtailwheel-standins: " << ex.what() << "\n";
        return 2;
    }
}
