#include "codec/json.h"

#include <vector>

namespace monsoonspool::codec {

namespace {

constexpr std::size_t MaxDescriptionBytes = 200;

// Returns whether `text` nests deeper than MaxJsonDepth, without parsing it into a
// tree. Ignores brackets in strings.
bool exceedsMaxDepth(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    bool isEscaped = false;
    for (const char c : text) {
        if (isInString) {
            if (isEscaped) {
                isEscaped = false;
            } else if (c == '\\') {
                isEscaped = true;
            } else if (c == '"') {
                isInString = false;
            }
            continue;
        }
        if (c == '"') {
            isInString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > MaxJsonDepth) {
                return true;
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

int depthOf(const Json &json)
{
    int deepest = 0;
    if (json.is_structured()) {
        for (const auto &it : json) {
            deepest = std::max(deepest, depthOf(it));
        }
    }
    return deepest + 1;
}

Result<Json> parseBounded(std::string_view text, ErrorKind kind)
{
    if (exceedsMaxDepth(text)) {
        return fail(kind, "the JSON text nests deeper than " + std::to_string(MaxJsonDepth) + " levels");
    }
    try {
        return Json::parse(text);
    } catch (const Json::exception &e) {
        return fail(kind, describe(e));
    }
}

} // namespace

std::string describe(const Json::exception &e)
{
    std::string_view what = e.what();
    const auto end = what.find("] "); // of a prefix such as "[json.exception.parse_error.101] "
    if (end != std::string_view::npos) {
        what.remove_prefix(end + 2);
    }
    return std::string(what.substr(0, MaxDescriptionBytes));
}

Result<Json> parseJson(std::string_view text, ErrorKind kind)
{
    if (text.size() > MaxJsonBytes) {
        return fail(kind, "the JSON text is longer than " + std::to_string(MaxJsonBytes) + " bytes");
    }
    return parseBounded(text, kind);
}

Result<Json> parseLargeJson(std::string_view text)
{
    return parseBounded(text, ErrorKind::MalformedMessage);
}

std::string writeJson(const Json &json, int indent)
{
    return json.dump(indent, ' ', false, Json::error_handler_t::replace);
}

std::string writeCbor(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<Json> parseCbor(std::string_view bytes)
{
    if (bytes.size() > MaxJsonBytes) {
        return fail(ErrorKind::MalformedMessage, "the CBOR message exceeds the size limit");
    }
    return parseLargeCbor(bytes);
}

Result<Json> parseLargeCbor(std::string_view bytes)
{
    try {
        Json json = Json::from_cbor(bytes.begin(), bytes.end());
        if (depthOf(json) > MaxJsonDepth) {
            return fail(ErrorKind::MalformedMessage, "the CBOR message exceeds the nesting limit");
        }
        return json;
    } catch (const Json::exception &e) {
        return fail(ErrorKind::MalformedMessage, describe(e));
    }
}

} // namespace monsoonspool::codec
