#include "observability/logging/eventlog.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <cstdio>
#include <memory>

namespace sassafrasyard {

namespace {

struct LoggingState
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("sassafrasyard");
    std::string host;
};

// Has static storage duration, because log4cplus needs its initializer to outlive all loggers.
std::unique_ptr<LoggingState> loggingState;

log4cplus::LogLevel toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

void appendQuoted(std::string &line, std::string_view text)
{
    line.push_back('"');
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (static_cast<unsigned char>(character) < 0x20) {
            char escape[8];
            std::snprintf(escape, sizeof escape, "\\u%04x", static_cast<unsigned>(character));
            line += escape;
        } else {
            line.push_back(character);
        }
    }
    line.push_back('"');
}

} // namespace

void startLogging(std::string_view host, LogLevel minimum, LogTarget target)
{
    loggingState = std::make_unique<LoggingState>();
    loggingState->host = host;
    log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(target == LogTarget::StandardError, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    loggingState->logger.addAppender(appender);
    loggingState->logger.setLogLevel(toLibraryLevel(minimum));
}

void logFields(LogEvent event, std::span<const LogField> fields)
{
    const LogEventEntry &entry = logEventEntry(event);
    const log4cplus::LogLevel level = toLibraryLevel(entry.level);
    if (!loggingState || !loggingState->logger.isEnabledFor(level))
        return;
    std::string line = "{\"time_ms\":" + std::to_string(Clock::system().now().count());
    line += ",\"event\":" + std::to_string(static_cast<int>(event)) + ",\"name\":";
    appendQuoted(line, entry.name);
    line += ",\"host\":";
    appendQuoted(line, loggingState->host);
    for (const LogField &field : fields) {
        line.push_back(',');
        appendQuoted(line, field.name);
        line.push_back(':');
        appendQuoted(line, field.value);
    }
    line.push_back('}');
    loggingState->logger.log(level, line);
}

} // namespace sassafrasyard
