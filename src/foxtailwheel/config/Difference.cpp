#include "foxtailwheel/config/Difference.h"

#include <map>

namespace foxtailwheel::config {

namespace {

    /// Maps the path of each declared item to its fields, formatted as one string.
    using FieldsByPath = std::map<std::string, std::string>;

    std::string formatField(std::string_view name, const std::string& value)
    {
        return std::string(name) + "=" + value + " ";
    }

    std::string formatMilliseconds(Duration d)
    {
        return std::to_string(toMilliseconds(d)) + "ms";
    }

    void flattenService(const Service& service, FieldsByPath& fieldsByPath)
    {
        const auto path = "services/" + service.id.value();
        std::string dependencies;
        for (const auto& it : service.dependsOn)
            dependencies += it.value() + ",";
        fieldsByPath[path] = formatField("kind", std::string(toString(service.kind)))
            + formatField("depends_on", dependencies) + formatField("idempotent", service.idempotent ? "true" : "false")
            + formatField("typical_time", formatMilliseconds(service.typicalTime))
            + formatField("concurrency", std::to_string(service.concurrency))
            + formatField("price", std::to_string(service.price.microCredits) + "uc")
            + formatField("cost_weight", std::to_string(service.costWeight))
            + formatField("fencing", service.fencing == Fencing::Checked ? "checked" : "ignored")
            + formatField("model", service.model);
        for (const auto& it : service.servers)
            fieldsByPath[path + "/servers/" + it.id.value()]
                = formatField("address", it.host + ":" + std::to_string(it.port))
                + formatField("zone", it.zone.value());
    }

    FieldsByPath flatten(const Declarations& declarations)
    {
        FieldsByPath fieldsByPath;
        for (const auto& it : declarations.zones)
            fieldsByPath["zones/" + it.id.value()]
                = formatField("region", it.region) + (it.drained ? formatField("drained", "true") : "");
        for (const auto& it : declarations.links)
            fieldsByPath["links/" + it.from.value() + "/" + it.to.value()]
                = formatField("one_way", formatMilliseconds(it.oneWay))
                + formatField("price", std::to_string(it.price.microCredits) + "uc");
        for (const auto& it : declarations.services)
            flattenService(it, fieldsByPath);
        for (const auto& it : declarations.pipelines)
            fieldsByPath["pipelines/" + it.id.value()] = formatField("result", it.result.value())
                + formatField("deadline", formatMilliseconds(it.deadline))
                + formatField("priority", std::to_string(it.priority));
        for (const auto& it : declarations.accounts)
            fieldsByPath["accounts/" + it.id.value()] = formatField("weight", std::to_string(it.weight))
                + formatField("rate", std::to_string(it.ratePerSecond) + "/s")
                + formatField("credential_sha256", it.credentialSha256);
        return fieldsByPath;
    }

} // namespace

std::vector<Change> difference(const Declarations& before, const Declarations& after)
{
    const auto oldFields = flatten(before);
    const auto newFields = flatten(after);
    std::map<std::string, Change> changes;
    for (const auto& [path, fields] : oldFields) {
        const auto it = newFields.find(path);
        if (it == newFields.end())
            changes[path] = { ChangeKind::Removed, path, {} };
        else if (it->second != fields)
            changes[path] = { ChangeKind::Changed, path, fields + "-> " + it->second };
    }
    for (const auto& [path, fields] : newFields) {
        if (!oldFields.contains(path))
            changes[path] = { ChangeKind::Added, path, {} };
    }
    std::vector<Change> sorted;
    sorted.reserve(changes.size());
    for (auto& it : changes)
        sorted.push_back(std::move(it.second));
    return sorted;
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
