#include "foxtailwheel/config/YamlReader.h"

#include "foxtailwheel/config/Quantity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <map>
#include <yaml-cpp/yaml.h>

namespace foxtailwheel::config {

namespace {

    constexpr std::size_t maxNesting = 16;
    constexpr std::size_t maxSuggestionDistance = 3;

    std::size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        for (std::size_t j = 0; j < row.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const std::size_t above = row[j];
                const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                row[j] = std::min({ above + 1, row[j - 1] + 1, replaced });
                diagonal = above;
            }
        }
        return row.back();
    }

    std::string formatNumber(double n)
    {
        std::string buf = std::to_string(n);
        buf.erase(buf.find_last_not_of('0') + 1);
        if (buf.back() == '.')
            buf.pop_back();
        return buf;
    }

} // namespace

std::string nearestWord(std::string_view word, const std::vector<std::string>& words)
{
    std::string nearest;
    std::size_t minDistance = std::min(maxSuggestionDistance, word.size() / 2) + 1;
    for (const auto& it : words) {
        const std::size_t n = editDistance(word, it);
        if (n < minDistance) {
            minDistance = n;
            nearest = it;
        }
    }
    return nearest;
}

struct YamlReader::Impl {
    std::map<std::string, YAML::Node, std::less<>> fields;
    std::map<std::string, YAML::Mark, std::less<>> keyMarks;
    std::vector<std::string> knownKeys;
    YAML::Mark mark = YAML::Mark::null_mark();
    std::string path;
    std::size_t depth = 0;
    Faults* faults = nullptr;

    static std::unique_ptr<Impl> create(const YAML::Node& node, std::string path, std::size_t depth, Faults& faults);
    void addFault(const YAML::Mark& location, const std::string& where, std::string message, std::string suggestion);
    std::string pathTo(std::string_view key) const { return (path.empty() ? "" : path + ".") + std::string(key); }
    const YAML::Node* find(std::string_view key);
    const YAML::Node* findScalar(std::string_view key, bool required);
    void readFields(const YAML::Node& node);

    /// Reads a scalar with `parse`, which returns a `Result`; a parse error is reported as a fault.
    template <class T, class Parse> T readScalar(std::string_view key, const std::optional<T>& fallback, Parse parse)
    {
        const auto* node = findScalar(key, !fallback);
        if (node == nullptr)
            return fallback.value_or(T {});
        const auto value = parse(node->Scalar());
        if (value.has_value())
            return value.value();
        addFault(node->Mark(), pathTo(key), value.error().message(), {});
        return fallback.value_or(T {});
    }
};

void YamlReader::Impl::addFault(
    const YAML::Mark& location, const std::string& where, std::string message, std::string suggestion)
{
    const bool hasLocation = !location.is_null();
    faults->push_back({ hasLocation ? location.line + 1 : 0, hasLocation ? location.column + 1 : 0, where,
        std::move(message), std::move(suggestion) });
}

void YamlReader::Impl::readFields(const YAML::Node& node)
{
    for (const auto& it : node) {
        if (!it.first.IsScalar()) {
            addFault(it.first.Mark(), path, "a key must be a scalar", {});
            continue;
        }
        const auto& key = it.first.Scalar();
        if (!fields.emplace(key, it.second).second)
            addFault(it.first.Mark(), pathTo(key), "duplicate key", "remove one of them");
        keyMarks.emplace(key, it.first.Mark());
    }
}

std::unique_ptr<YamlReader::Impl> YamlReader::Impl::create(
    const YAML::Node& node, std::string path, std::size_t depth, Faults& faults)
{
    auto impl = std::make_unique<Impl>();
    impl->path = std::move(path);
    impl->depth = depth;
    impl->faults = &faults;
    impl->mark = node.Mark();
    if (depth > maxNesting)
        impl->addFault(impl->mark, impl->path, "nested too deeply", {});
    else if (node.IsMap())
        impl->readFields(node);
    else if (!node.IsNull())
        impl->addFault(impl->mark, impl->path, "must be a mapping", "write `key: value` lines here");
    return impl;
}

const YAML::Node* YamlReader::Impl::find(std::string_view key)
{
    knownKeys.emplace_back(key);
    const auto it = fields.find(key);
    return it == fields.end() ? nullptr : &it->second;
}

const YAML::Node* YamlReader::Impl::findScalar(std::string_view key, bool required)
{
    const auto* node = find(key);
    if (node == nullptr) {
        if (required)
            addFault(mark, pathTo(key), "is missing", "add `" + std::string(key) + ":`");
        return nullptr;
    }
    if (node->IsScalar())
        return node;
    addFault(node->Mark(), pathTo(key), "must be a single value", {});
    return nullptr;
}

YamlReader::YamlReader(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}
YamlReader::YamlReader(YamlReader&&) noexcept = default;
YamlReader& YamlReader::operator=(YamlReader&&) noexcept = default;
YamlReader::~YamlReader() = default;

YamlReader YamlReader::parse(const std::string& text, Faults& faults)
{
    try {
        return YamlReader(Impl::create(YAML::Load(text), {}, 0, faults));
    } catch (const YAML::Exception& ex) {
        faults.push_back({ ex.mark.line + 1, ex.mark.column + 1, {}, "not valid YAML: " + ex.msg, {} });
    }
    return YamlReader(Impl::create(YAML::Node(), {}, 0, faults));
}

bool YamlReader::has(std::string_view key)
{
    return m_impl->find(key) != nullptr;
}

std::string YamlReader::text(std::string_view key, const std::optional<std::string>& fallback)
{
    const auto parse = [](const std::string& value) -> Result<std::string> {
        if (value.empty())
            return fail(Errc::ParseFailed, "must not be empty");
        return value;
    };
    return m_impl->readScalar<std::string>(key, fallback, parse);
}

std::vector<std::string> YamlReader::texts(std::string_view key)
{
    std::vector<std::string> values;
    const auto* node = m_impl->find(key);
    if (node == nullptr || node->IsNull())
        return values;
    if (!node->IsSequence()) {
        m_impl->addFault(node->Mark(), m_impl->pathTo(key), "must be a list", "write `[a, b]`");
        return values;
    }
    for (const auto& it : *node) {
        if (it.IsScalar())
            values.push_back(it.Scalar());
        else
            m_impl->addFault(it.Mark(), m_impl->pathTo(key), "must contain only scalars", {});
    }
    return values;
}

bool YamlReader::flag(std::string_view key, bool fallback)
{
    const auto parse = [](const std::string& value) -> Result<bool> {
        if (value == "true" || value == "false")
            return value == "true";
        return fail(Errc::ParseFailed, "must be true or false");
    };
    return m_impl->readScalar<bool>(key, fallback, parse);
}

double YamlReader::number(std::string_view key, std::optional<double> fallback, double low, double high)
{
    const auto parse = [low, high](const std::string& value) -> Result<double> {
        char* end = nullptr;
        const double n = std::strtod(value.c_str(), &end);
        if (end == value.c_str() || *end != '\0' || !(n >= low && n <= high))
            return fail(Errc::ParseFailed, "must be a number from " + formatNumber(low) + " to " + formatNumber(high));
        return n;
    };
    return m_impl->readScalar<double>(key, fallback, parse);
}

std::uint64_t YamlReader::unsignedInteger(
    std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high)
{
    const auto parse = [low, high](const std::string& value) -> Result<std::uint64_t> {
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (ec != std::errc {} || end != value.data() + value.size() || n < low || n > high)
            return fail(Errc::ParseFailed,
                "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return n;
    };
    return m_impl->readScalar<std::uint64_t>(key, fallback, parse);
}

Duration YamlReader::duration(std::string_view key, std::optional<Duration> fallback, Duration low, Duration high)
{
    const auto parse = [low, high](const std::string& value) -> Result<Duration> {
        BOOST_OUTCOME_TRY(const auto d, parseDuration(value));
        if (d < low || d > high)
            return fail(Errc::ParseFailed,
                "must be from " + formatNumber(toMilliseconds(low)) + "ms to " + formatNumber(toMilliseconds(high))
                    + "ms");
        return d;
    };
    return m_impl->readScalar<Duration>(key, fallback, parse);
}

std::uint64_t YamlReader::size(
    std::string_view key, std::optional<std::uint64_t> fallback, std::uint64_t low, std::uint64_t high)
{
    const auto parse = [low, high](const std::string& value) -> Result<std::uint64_t> {
        BOOST_OUTCOME_TRY(const auto n, parseSize(value));
        if (n < low || n > high)
            return fail(
                Errc::ParseFailed, "must be from " + std::to_string(low) + "B to " + std::to_string(high) + "B");
        return n;
    };
    return m_impl->readScalar<std::uint64_t>(key, fallback, parse);
}

Cost YamlReader::cost(std::string_view key, std::optional<Cost> fallback)
{
    return m_impl->readScalar<Cost>(key, fallback, [](const std::string& value) { return parseCost(value); });
}

double YamlReader::rate(std::string_view key, std::optional<double> fallback)
{
    const auto parse = [](const std::string& value) -> Result<double> {
        BOOST_OUTCOME_TRY(const auto n, parseRate(value));
        if (n <= 0)
            return fail(Errc::ParseFailed, "must be greater than 0");
        return n;
    };
    return m_impl->readScalar<double>(key, fallback, parse);
}

std::size_t YamlReader::choice(
    std::string_view key, std::optional<std::size_t> fallback, const std::vector<std::string_view>& choices)
{
    const auto* node = m_impl->findScalar(key, !fallback);
    if (node == nullptr)
        return fallback.value_or(0);
    const auto it = std::find(choices.begin(), choices.end(), node->Scalar());
    if (it != choices.end())
        return static_cast<std::size_t>(it - choices.begin());
    std::string names;
    for (const auto& name : choices)
        names += (names.empty() ? "" : ", ") + std::string(name);
    m_impl->addFault(node->Mark(), m_impl->pathTo(key), "'" + node->Scalar() + "' is not one of " + names, {});
    return fallback.value_or(0);
}

std::vector<YamlReader> YamlReader::list(std::string_view key)
{
    std::vector<YamlReader> readers;
    const auto* node = m_impl->find(key);
    if (node == nullptr || node->IsNull())
        return readers;
    if (!node->IsSequence()) {
        m_impl->addFault(node->Mark(), m_impl->pathTo(key), "must be a list", "start each entry with `- `");
        return readers;
    }
    for (const auto& it : *node) {
        auto path = m_impl->pathTo(key) + "[" + std::to_string(readers.size()) + "]";
        readers.push_back(YamlReader(Impl::create(it, std::move(path), m_impl->depth + 1, *m_impl->faults)));
    }
    return readers;
}

std::vector<std::string> YamlReader::keys() const
{
    std::vector<std::string> keys;
    for (const auto& it : m_impl->fields)
        keys.push_back(it.first);
    return keys;
}

YamlReader YamlReader::section(std::string_view key)
{
    const auto* node = m_impl->find(key);
    return YamlReader(
        Impl::create(node == nullptr ? YAML::Node() : *node, m_impl->pathTo(key), m_impl->depth + 1, *m_impl->faults));
}

void YamlReader::reportFault(std::string_view key, std::string message, std::string suggestion)
{
    const auto it = m_impl->fields.find(key);
    const auto& location = it == m_impl->fields.end() ? m_impl->mark : it->second.Mark();
    m_impl->addFault(location, m_impl->pathTo(key), std::move(message), std::move(suggestion));
}

void YamlReader::reportUnknownKeys()
{
    for (const auto& it : m_impl->keyMarks) {
        if (std::find(m_impl->knownKeys.begin(), m_impl->knownKeys.end(), it.first) != m_impl->knownKeys.end())
            continue;
        const auto nearest = nearestWord(it.first, m_impl->knownKeys);
        m_impl->addFault(it.second, m_impl->pathTo(it.first), "unknown key",
            nearest.empty() ? "remove it" : "did you mean `" + nearest + "`?");
    }
}

} // namespace foxtailwheel::config
