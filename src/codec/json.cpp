#include "codec/json.h"

#include <algorithm>
#include <string>

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

// Stops a parser at a value that nests deeper than MaxJsonDepth.
class DepthLimit : public nlohmann::json_sax<Json>
{
public:
    bool isExceeded() const
    {
        return m_depth > MaxJsonDepth;
    }
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++m_depth <= MaxJsonDepth;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++m_depth <= MaxJsonDepth;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false; // reported by the parsing that follows
    }

private:
    int m_depth = 0;
};

// Returns whether the CBOR message nests deeper than MaxJsonDepth. The parser calls itself for each level, so
// that it must not see such a message.
bool exceedsMaxCborDepth(std::string_view bytes)
{
    // Each level begins with such a byte, which also occurs in other places.
    const auto isNesting = [](char it) { return (static_cast<unsigned char>(it) & 0xc0U) == 0x80U; };
    if (std::ranges::count_if(bytes, isNesting) <= MaxJsonDepth) {
        return false;
    }
    DepthLimit limit;
    Json::sax_parse(bytes.begin(), bytes.end(), &limit, Json::input_format_t::cbor);
    return limit.isExceeded();
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
    if (exceedsMaxCborDepth(bytes)) {
        return fail(ErrorKind::MalformedMessage, "the CBOR message exceeds the nesting limit");
    }
    try {
        return Json::from_cbor(bytes.begin(), bytes.end());
    } catch (const Json::exception &e) {
        return fail(ErrorKind::MalformedMessage, describe(e));
    }
}

} // namespace monsoonspool::codec
