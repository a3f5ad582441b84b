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
    StandardOutput, // without ever waiting for its reader
};

// Sets up the logs of the process.
// Fails with InvalidSettings for an unknown level or format.
Result<void> configure(std::string_view level, std::string_view format,
                       Destination destination = Destination::StandardError);

// Sets how many lines of each decision may be written in a second. Thread-safe.
void setDecisionRate(double linesPerSecond);

// Writes one line for `event` with `fields`. Thread-safe.
void log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

// Writes one line for a decision, if the event has not used up its budget of lines
// for this second; what is left out is counted and told of. Thread-safe.
void logDecision(std::string_view event, std::initializer_list<Field> fields);

// Returns the line without its time and level, for tests.
std::string formatEvent(Format format, std::string_view event, std::initializer_list<Field> fields);

} // namespace monsoonspool::logging
