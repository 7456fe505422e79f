#include "foxtailwheel/config/Difference.h"

#include <map>

namespace foxtailwheel::config {

namespace {

    /// Flattened view of the declarations: each thing's path with its fields as one text.
    using Flat = std::map<std::string, std::string>;

    std::string field(std::string_view name, const std::string& value)
    {
        return std::string(name) + "=" + value + " ";
    }

    std::string milliseconds(Duration d)
    {
        return std::to_string(toMilliseconds(d)) + "ms";
    }

    void flattenService(const Service& service, Flat& flat)
    {
        const auto path = "services/" + service.id.value();
        std::string dependencies;
        for (const auto& it : service.dependsOn)
            dependencies += it.value() + ",";
        flat[path] = field("kind", std::string(toString(service.kind))) + field("depends_on", dependencies)
            + field("idempotent", service.idempotent ? "true" : "false")
            + field("typical_time", milliseconds(service.typicalTime))
            + field("concurrency", std::to_string(service.concurrency))
            + field("price", std::to_string(service.price.microCredits) + "uc")
            + field("cost_weight", std::to_string(service.costWeight))
            + field("fencing", service.fencing == Fencing::Checked ? "checked" : "ignored")
            + field("model", service.model);
        for (const auto& it : service.servers)
            flat[path + "/servers/" + it.id.value()]
                = field("address", it.host + ":" + std::to_string(it.port)) + field("zone", it.zone.value());
    }

    Flat flatten(const Declarations& declarations)
    {
        Flat flat;
        for (const auto& it : declarations.zones)
            flat["zones/" + it.id.value()] = field("region", it.region);
        for (const auto& it : declarations.links)
            flat["links/" + it.from.value() + "/" + it.to.value()] = field("one_way", milliseconds(it.oneWay))
                + field("price", std::to_string(it.price.microCredits) + "uc");
        for (const auto& it : declarations.services)
            flattenService(it, flat);
        for (const auto& it : declarations.pipelines)
            flat["pipelines/" + it.id.value()] = field("result", it.result.value())
                + field("deadline", milliseconds(it.deadline)) + field("priority", std::to_string(it.priority));
        for (const auto& it : declarations.accounts)
            flat["accounts/" + it.id.value()] = field("weight", std::to_string(it.weight))
                + field("rate", std::to_string(it.ratePerSecond) + "/s")
                + field("credential_sha256", it.credentialSha256);
        return flat;
    }

} // namespace

std::vector<Change> difference(const Declarations& before, const Declarations& after)
{
    const auto old = flatten(before);
    const auto fresh = flatten(after);
    std::map<std::string, Change> changes;
    for (const auto& [path, fields] : old) {
        const auto it = fresh.find(path);
        if (it == fresh.end())
            changes[path] = { ChangeKind::Removed, path, {} };
        else if (it->second != fields)
            changes[path] = { ChangeKind::Changed, path, fields + "-> " + it->second };
    }
    for (const auto& [path, fields] : fresh) {
        if (!old.contains(path))
            changes[path] = { ChangeKind::Added, path, {} };
    }
    std::vector<Change> ordered;
    ordered.reserve(changes.size());
    for (auto& it : changes)
        ordered.push_back(std::move(it.second));
    return ordered;
}

std::string describe(const Change& change)
{
    switch (change.kind) {
    case ChangeKind::Added:
        return "+ " + change.path;
    case ChangeKind::Removed:
        return "- " + change.path;
    case ChangeKind::Changed:
        break;
    }
    return "~ " + change.path + ": " + change.detail;
}

} // namespace foxtailwheel::config
