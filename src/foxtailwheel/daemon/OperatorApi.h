#pragma once

#include "ConfigService.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief A known instance, as reported to operators.
struct MemberStatus {
    InstanceId id;
    AvailabilityZoneId zone;
    std::string state;
    ConfigVersion version;
};

/// @brief Access of the operators' API to its instance.
struct OperatorHooks {
    std::function<std::string()> state;
    std::function<std::vector<MemberStatus>()> members;
    std::function<void()> drain;
};

/// @brief HTTP API of the operators, authenticated by a token, on a separate address.
class OperatorApi {
public:
    OperatorApi(const config::Settings& settings, const Clock& clock, serving::Dispatcher& dispatcher,
        ConfigService& configs, store::Table& table, OperatorHooks hooks);

    void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

private:
    using ResponderPtr = std::shared_ptr<http::Responder>;
    using Route = void (OperatorApi::*)(const http::Request&, const ResponderPtr&);

    struct RouteEntry {
        std::string_view method;
        std::string_view path;
        Route route;
    };

    static const std::vector<RouteEntry>& routes();
    bool authorized(const http::Request& request) const;
    void status(const http::Request& request, const ResponderPtr& responder);
    void backends(const http::Request& request, const ResponderPtr& responder);
    void accounts(const http::Request& request, const ResponderPtr& responder);
    void showConfig(const http::Request& request, const ResponderPtr& responder);
    void applyConfig(const http::Request& request, const ResponderPtr& responder);
    void history(const http::Request& request, const ResponderPtr& responder);
    void audit(const http::Request& request, const ResponderPtr& responder);
    void drain(const http::Request& request, const ResponderPtr& responder);
    void respondConflict(
        const control::ConfigChangeRequest& change, const control::ApplyResult& result, const ResponderPtr& responder);
    void respondRows(std::string prefix, const http::Request& request, const ResponderPtr& responder);

    const config::Settings& m_settings;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    ConfigService& m_configs;
    store::Table& m_table;
    OperatorHooks m_hooks;
};

} // namespace foxtailwheel::daemon
