#include "foxtailwheel/telemetry/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace foxtailwheel::telemetry {

namespace {

    log4cplus::Logger rootLogger()
    {
        return log4cplus::Logger::getRoot();
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
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
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

void logError(std::string_view event, Fields fields)
{
    LOG4CPLUS_ERROR(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logWarning(std::string_view event, Fields fields)
{
    LOG4CPLUS_WARN(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfo(std::string_view event, Fields fields)
{
    LOG4CPLUS_INFO(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

void logInfoFields(std::string_view event, std::span<const Field> fields)
{
    LOG4CPLUS_INFO(rootLogger(), formatLine(event, fields));
}

void logDebug(std::string_view event, Fields fields)
{
    LOG4CPLUS_DEBUG(rootLogger(), formatLine(event, { fields.begin(), fields.size() }));
}

} // namespace foxtailwheel::telemetry
