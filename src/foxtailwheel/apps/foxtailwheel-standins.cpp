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

config::Endpoint endpointOf(const std::string& text)
{
    config::Endpoint endpoint;
    config::parseEndpoint(text, endpoint);
    return endpoint;
}

Duration durationOf(const cxxopts::ParseResult& args, const std::string& name)
{
    const auto d = config::parseDuration(args[name].as<std::string>());
    return d.has_value() ? d.value() : Duration {};
}

/// Keeps a stand-in that started, or says why it did not.
bool keep(Result<std::unique_ptr<standin::StandIn>> started, StandIns& running)
{
    if (!started.has_value()) {
        std::cerr << "foxtailwheel-standins: " << started.error().message() << "\n";
        return false;
    }
    running.push_back(std::move(started).value());
    return true;
}

bool startBackends(http::IoPool& pool, const cxxopts::ParseResult& args, StandIns& running)
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
            const bool wanted = only.empty() || std::find(only.begin(), only.end(), server.id.value()) != only.end();
            if (wanted
                && !keep(standin::startBackend(
                             pool, { service, server, durationOf(args, "call-time"), durationOf(args, "token-time") }),
                    running))
                return false;
        }
    }
    return true;
}

void waitForSignal(http::IoPool& pool)
{
    std::mutex mutex;
    std::condition_variable ended;
    bool stop = false;
    pool.onTerminate([&](int) {
        const std::lock_guard lock(mutex);
        stop = true;
        ended.notify_all();
    });
    std::unique_lock lock(mutex);
    ended.wait(lock, [&] { return stop; });
}

int run(const cxxopts::ParseResult& args)
{
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(args["threads"].as<unsigned>());
    StandIns running;
    bool started = true;
    if (args.count("table") > 0)
        started = started
            && keep(standin::startTable(*pool, *clock,
                        { endpointOf(args["table"].as<std::string>()), args["reads"].as<double>(),
                            args["writes"].as<double>() }),
                running);
    if (args.count("list") > 0)
        started = started
            && keep(standin::startInstanceList(
                        *pool, *clock, endpointOf(args["list"].as<std::string>()), durationOf(args, "list-lag")),
                running);
    if (args.count("weights") > 0)
        started = started
            && keep(
                standin::startWeightStore(*pool, *clock, endpointOf(args["weights"].as<std::string>()), 1), running);
    if (args.count("declarations") > 0)
        started = started && startBackends(*pool, args, running);
    if (started) {
        std::cout << "running " << running.size() << " stand-ins" << std::endl;
        waitForSignal(*pool);
    }
    pool->stop();
    return started ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("foxtailwheel-standins", "Stand-ins for the platform and for backend servers.");
    options.add_options()("table", "address of a table service", cxxopts::value<std::string>())("list",
        "address of an instance list",
        cxxopts::value<std::string>())("weights", "address of a weight store", cxxopts::value<std::string>())(
        "declarations", "start a stand-in for each backend server declared here", cxxopts::value<std::string>())(
        "only", "names of the backend servers to start", cxxopts::value<std::vector<std::string>>())(
        "call-time", "time of one call", cxxopts::value<std::string>()->default_value("5ms"))(
        "token-time", "time of one token", cxxopts::value<std::string>()->default_value("1ms"))(
        "list-lag", "time until the list shows a change", cxxopts::value<std::string>()->default_value("1s"))(
        "reads", "reads that the table serves a second", cxxopts::value<double>()->default_value("2000"))(
        "writes", "writes that the table serves a second", cxxopts::value<double>()->default_value("500"))(
        "threads", "threads", cxxopts::value<unsigned>()->default_value("2"))("h,help", "print this help");
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
