#include "logging/log.h"

#include "codec/json.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <atomic>

namespace monsoonspool::logging {

namespace {

std::atomic<Format> currentFormat = Format::KeyValue;

log4cxx::LoggerPtr logger()
{
    static const auto instance = log4cxx::Logger::getLogger("monsoonspool");
    return instance;
}

log4cxx::LevelPtr levelOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

Result<Level> levelFrom(std::string_view name)
{
    if (name == "debug") {
        return Level::Debug;
    }
    if (name == "info") {
        return Level::Info;
    }
    if (name == "warning") {
        return Level::Warning;
    }
    if (name == "error") {
        return Level::Error;
    }
    return fail(ErrorKind::InvalidSettings, "log/level must be debug, info, warning or error");
}

} // namespace

Result<void> configure(std::string_view level, std::string_view format)
{
    BOOST_LEAF_AUTO(threshold, levelFrom(level));
    if (format != "keyvalue" && format != "json") {
        return fail(ErrorKind::InvalidSettings, "log/format must be keyvalue or json");
    }
    currentFormat = format == "json" ? Format::Json : Format::KeyValue;
    const char *pattern
        = format == "json" ? "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",%m}%n" : "time=%d{ISO8601} level=%p %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    logger()->setLevel(levelOf(threshold));
    return {};
}

std::string formatEvent(Format format, std::string_view event, std::initializer_list<Field> fields)
{
    std::string line;
    if (format == Format::Json) {
        line = "\"event\":" + codec::writeJson(codec::Json(event));
        for (const auto &it : fields) {
            line += "," + codec::writeJson(codec::Json(it.key)) + ":" + codec::writeJson(codec::Json(it.value));
        }
        return line;
    }
    line = "event=" + std::string(event);
    for (const auto &it : fields) {
        line += " " + std::string(it.key) + "="
            + (needsQuotes(it.value) ? codec::writeJson(codec::Json(it.value)) : it.value);
    }
    return line;
}

void log(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    const auto log4cxxLevel = levelOf(level);
    if (logger()->isEnabledFor(log4cxxLevel)) {
        logger()->forcedLog(log4cxxLevel, formatEvent(currentFormat, event, fields),
                            log4cxx::spi::LocationInfo::getLocationUnavailable());
    }
}

void logDecision(std::string_view event, std::initializer_list<Field> fields)
{
    log(Level::Info, event, fields);
}

} // namespace monsoonspool::logging
