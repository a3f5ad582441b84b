#include "logging/log.h"

#include "codec/json.h"
#include "logging/linesink.h"
#include "logging/logratelimiter.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

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

// Writes formatted lines to a non-blocking LineSink.
class SinkAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit SinkAppender(int descriptor) : m_sink(descriptor)
    {
    }
    void close() override
    {
    }
    bool requiresLayout() const override
    {
        return true;
    }

protected:
    // The base class serializes calls.
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        std::string encoded;
        log4cxx::helpers::Transcoder::encode(line, encoded);
        m_sink.write(encoded);
    }

private:
    LineSink m_sink;
};

std::mutex rateLimiterMutex;
LogRateLimiter rateLimiter; // guarded by rateLimiterMutex

// Appends `text` as a JSON string. Most texts need no escapes and take the fast path.
void appendJson(std::string &line, std::string_view text)
{
    const bool isPlain = std::ranges::all_of(
        text, [](char c) { return c >= ' ' && c != '"' && c != '\\' && static_cast<unsigned char>(c) < 0x7f; });
    if (isPlain) {
        line += '"';
        line += text;
        line += '"';
    } else {
        line += codec::writeJson(codec::Json(text));
    }
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
    return fail(ErrorKind::InvalidSettings, "the setting log/level must be debug, info, warning or error");
}

} // namespace

Result<void> configure(std::string_view level, std::string_view format, Destination destination)
{
    BOOST_LEAF_AUTO(threshold, levelFrom(level));
    if (format != "keyvalue" && format != "json") {
        return fail(ErrorKind::InvalidSettings, "the setting log/format must be keyvalue or json");
    }
    currentFormat = format == "json" ? Format::Json : Format::KeyValue;
    const char *pattern
        = format == "json" ? "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",%m}%n" : "time=%d{ISO8601} level=%p %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    log4cxx::AppenderPtr appender;
    if (destination == Destination::StandardOutput) {
        appender = std::make_shared<SinkAppender>(STDOUT_FILENO);
        appender->setLayout(layout);
    } else {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }
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
        line = "\"event\":";
        appendJson(line, event);
        for (const auto &it : fields) {
            line += ',';
            appendJson(line, it.key());
            line += ':';
            appendJson(line, it.text());
        }
        return line;
    }
    line = "event=" + std::string(event);
    for (const auto &it : fields) {
        const auto value = it.text();
        line += " " + std::string(it.key()) + "=" + (needsQuotes(value) ? codec::writeJson(codec::Json(value)) : value);
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

void setDecisionLogRate(double linesPerSecond)
{
    const std::scoped_lock lock(rateLimiterMutex);
    rateLimiter.setRate(linesPerSecond);
}

void logDecision(std::string_view event, std::initializer_list<Field> fields)
{
    std::map<std::string, std::uint64_t> suppressed;
    bool isPermitted = false;
    {
        const std::lock_guard lock(rateLimiterMutex);
        const auto now = monotonicNow();
        isPermitted = rateLimiter.tryAcquire(event, now);
        suppressed = rateLimiter.takeSuppressed(now);
    }
    for (const auto &[name, count] : suppressed) {
        log(Level::Warning, "lines-left-out", {{"of", name}, {"count", count}});
    }
    if (isPermitted) {
        log(Level::Info, event, fields);
    }
}

} // namespace monsoonspool::logging
