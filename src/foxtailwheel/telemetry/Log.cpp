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

    /// Buffered while the reader of standard output stalls; about ten seconds of log lines of a busy instance.
    constexpr std::size_t maxBufferedBytes = 1U << 20U;
    /// Rate limit of each event; a busy instance writes about 100 lines per second of all events together.
    constexpr double linesPerSecond = 200;
    constexpr double lineBurst = 400;
    constexpr Duration suppressedReportInterval = std::chrono::seconds(1);

    LineWriter& standardOutput()
    {
        static LineWriter writer(STDOUT_FILENO, maxBufferedBytes);
        return writer;
    }

    /// Appends log lines to the non-blocking writer of standard output.
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

    /// Thread-safe rate limiter of the log lines of this process; logs how many lines it suppressed.
    class ProcessLogRateLimiter {
    public:
        bool tryAcquire(std::string_view event)
        {
            const auto now = std::chrono::steady_clock::now();
            std::map<std::string, std::uint64_t> suppressed;
            bool admitted = false;
            {
                const std::lock_guard lock(m_mutex);
                admitted = m_limiter.tryAcquire(event, now);
                if (now - m_lastReportAt >= suppressedReportInterval) {
                    m_lastReportAt = now;
                    suppressed = m_limiter.drainSuppressedCounts();
                }
            }
            for (const auto& it : suppressed)
                LOG4CPLUS_WARN(
                    rootLogger(), "event=lines_withheld of=" + it.first + " count=" + std::to_string(it.second));
            return admitted;
        }

    private:
        std::mutex m_mutex;
        LogRateLimiter m_limiter { linesPerSecond, lineBurst };
        TimePoint m_lastReportAt {};
    };

    bool passesRateLimit(std::string_view event)
    {
        static ProcessLogRateLimiter limiter;
        return limiter.tryAcquire(event);
    }

    std::string quoteIfNeeded(const std::string& value)
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
        line += " " + std::string(it.name) + "=" + quoteIfNeeded(it.value);
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
    if (rootLogger().isEnabledFor(log4cplus::ERROR_LOG_LEVEL) && passesRateLimit(event))
        LOG4CPLUS_ERROR(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logWarning(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::WARN_LOG_LEVEL) && passesRateLimit(event))
        LOG4CPLUS_WARN(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfo(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::INFO_LOG_LEVEL) && passesRateLimit(event))
        LOG4CPLUS_INFO(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfoFields(std::string_view event, std::span<const Field> fields)
{
    if (rootLogger().isEnabledFor(log4cplus::INFO_LOG_LEVEL) && passesRateLimit(event))
        LOG4CPLUS_INFO(rootLogger(), formatLine(event, fields));
}

void logDebug(std::string_view event, Fields fields)
{
    if (rootLogger().isEnabledFor(log4cplus::DEBUG_LOG_LEVEL) && passesRateLimit(event))
        LOG4CPLUS_DEBUG(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

} // namespace foxtailwheel::telemetry
