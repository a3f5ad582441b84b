#pragma once

#include "common/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace monsoonspool::codec {

using Json = nlohmann::json;

// Limits on JSON from untrusted sources.
constexpr int MaxJsonDepth = 32;
constexpr std::size_t MaxJsonBytes = 4 * 1024 * 1024;

// Returns what the JSON library reports, without its prefix and cut to a length that fits
// a log line: the library quotes the text that it cannot parse.
std::string describe(const Json::exception &e);

// Parses `text`. Fails with `kind` if it is not JSON, is deeper than
// MaxJsonDepth, longer than MaxJsonBytes, or not UTF-8.
Result<Json> parseJson(std::string_view text, ErrorKind kind = ErrorKind::MalformedMessage);

// Parses text from a trusted program. Limits the nesting depth, not the size. Fails
// with MalformedMessage.
Result<Json> parseLargeJson(std::string_view text);

// Serializes `json`, indented by `indent` spaces, or on one line if `indent` is -1.
// Replaces invalid UTF-8.
std::string writeJson(const Json &json, int indent = -1);

// Serializes `json` as CBOR.
std::string writeCbor(const Json &json);

// Parses CBOR within MaxJsonDepth and MaxJsonBytes. Fails with MalformedMessage.
Result<Json> parseCbor(std::string_view bytes);

// Parses CBOR that this system wrote. Limits the nesting depth, not the size. Fails
// with MalformedMessage.
Result<Json> parseLargeCbor(std::string_view bytes);

} // namespace monsoonspool::codec
