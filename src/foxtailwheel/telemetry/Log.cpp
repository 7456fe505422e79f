#include "foxtailwheel/telemetry/Log.h"

#include "foxtailwheel/telemetry/LineWriter.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <map>
#include <mutex>
#include <unistd.h>

namespace foxtailwheel::telemetry {

namespace {

    log4cplus::Logger rootLogger()
    {
        return log4cplus::Logger::getRoot();
    }

    /// Bytes held for a reader that stalls: about ten seconds of a busy instance.
    constexpr std::size_t mostHeldBytes = 1U << 20U;
    /// Lines of one event a second, and at once; a busy instance writes about a hundred a second in all.
    constexpr double linesPerSecond = 200;
    constexpr double lineBurst = 400;
    constexpr Duration withheldPeriod = std::chrono::seconds(1);

    LineWriter& standardOutput()
    {
        static LineWriter writer(STDOUT_FILENO, mostHeldBytes);
        return writer;
    }

    /// Hands lines to a writer that never blocks.
    class LineAppender final : public log4cplus::Appender {
    public:
        ~LineAppender() override { destructorImpl(); }
        void close() override { standardOutput().flush(); }

    protected:
        void append(const log4cplus::spi::InternalLoggingEvent& event) override
        {
            auto line = formatEvent(event);
            if (line.ends_with('\n'))
                line.pop_back();
            standardOutput().add(line);
            if (event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL)
                standardOutput().flush();
        }
    };

    /// The budgets of all events of this process.
    class Budgets {
    public:
        bool take(std::string_view event)
        {
            const auto now = std::chrono::steady_clock::now();
            std::map<std::string, std::uint64_t> withheld;
            bool taken = false;
            {
                const std::lock_guard lock(m_mutex);
                taken = m_budget.take(event, now);
                if (now - m_toldAt >= withheldPeriod) {
                    m_toldAt = now;
                    withheld = m_budget.drainWithheld();
                }
            }
            for (const auto& it : withheld)
                LOG4CPLUS_WARN(
                    rootLogger(), "event=lines_withheld of=" + it.first + " count=" + std::to_string(it.second));
            return taken;
        }

    private:
        std::mutex m_mutex;
        LineBudget m_budget { linesPerSecond, lineBurst };
        TimePoint m_toldAt {};
    };

    bool mayWrite(std::string_view event)
    {
        static Budgets budgets;
        return budgets.take(event);
    }

    std::string quoted(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos)
            return value;
        std::string out = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out.push_back('\\');
            out.push_back(c == '\n' || c == '\r' ? ' ' : c);
        }
        return out + "\"";
    }

} // namespace

std::string formatLine(std::string_view event, std::span<const Field> fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto& it : fields)
        line += " " + std::string(it.name) + "=" + quoted(it.value);
    return line;
}

void configureLog(const std::string& level)
{
    static const log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new LineAppender);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    auto root = rootLogger();
    root.removeAllAppenders();
    root.addAppender(appender);
    if (level == "debug")
        root.setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
    else if (level == "warn")
        root.setLogLevel(log4cplus::WARN_LOG_LEVEL);
    else if (level == "error")
        root.setLogLevel(log4cplus::ERROR_LOG_LEVEL);
    else
        root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void flushLog()
{
    standardOutput().flush();
}

void logError(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::ERROR_LOG_LEVEL) && mayWrite(event))
        LOG4CPLUS_ERROR(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logWarning(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::WARN_LOG_LEVEL) && mayWrite(event))
        LOG4CPLUS_WARN(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfo(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::INFO_LOG_LEVEL) && mayWrite(event))
        LOG4CPLUS_INFO(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfoFields(std::string_view event, std::span<const Field> fields)
{
    if (rootLogger().isEnabledFor(log4cplus::INFO_LOG_LEVEL) && mayWrite(event))
        LOG4CPLUS_INFO(rootLogger(), formatLine(event, fields));
}

void logDebug(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::DEBUG_LOG_LEVEL) && mayWrite(event))
        LOG4CPLUS_DEBUG(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

} // namespace foxtailwheel::telemetry
