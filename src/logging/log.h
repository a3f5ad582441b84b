#pragma once

#include "common/decisionlog.h"
#include "common/error.h"

#include <initializer_list>
#include <string>
#include <string_view>

// Structured logs: one line per event, as key=value pairs or as JSON.
namespace monsoonspool::logging {

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

enum class Format {
    KeyValue,
    Json,
};

using Field = DecisionField;

enum class Destination {
    StandardError,
    StandardOutput, // non-blocking; drops lines if the reader is too slow
};

// Configures the logging of the process.
// Fails with InvalidSettings for an unknown level or format.
Result<void> configure(std::string_view level, std::string_view format,
                       Destination destination = Destination::StandardError);

// Sets the rate limit of logDecision(), in lines per second and event. Thread-safe.
void setDecisionLogRate(double linesPerSecond);

// Writes one line for `event` with `fields`. Thread-safe.
void log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

// Writes one line for a decision, subject to the rate limit of `event`. Suppressed lines
// are counted and reported as lines-left-out. Thread-safe.
void logDecision(std::string_view event, std::initializer_list<Field> fields);

// Returns the log line without its time and level.
std::string formatEvent(Format format, std::string_view event, std::initializer_list<Field> fields);

} // namespace monsoonspool::logging
