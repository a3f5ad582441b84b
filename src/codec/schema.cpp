#include "codec/schema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <set>

namespace monsoonspool::codec {

namespace {

// Returns the text between the first and the last single quote.
std::string textInQuotes(std::string_view text)
{
    const auto first = text.find('\'');
    const auto last = text.rfind('\'');
    return first == last ? std::string() : std::string(text.substr(first + 1, last - first - 1));
}

// Turns "[urgency]" into "urgency".
std::string withoutBrackets(std::string_view step)
{
    if (step.size() >= 2 && step.front() == '[' && step.back() == ']') {
        step = step.substr(1, step.size() - 2);
    }
    return std::string(step);
}

const Json *childSchema(const Json &schema, const std::string &step)
{
    if (const auto properties = schema.find("properties"); properties != schema.end() && properties->contains(step)) {
        return &(*properties)[step];
    }
    const auto items = schema.find("items");
    return items == schema.end() ? nullptr : &*items;
}

std::string joinPath(const std::vector<std::string> &steps)
{
    std::string path;
    for (const auto &it : steps) {
        path += (path.empty() ? "" : "/") + it;
    }
    return path;
}

std::string knownKeys(const Json &schema)
{
    std::string keys;
    if (const auto properties = schema.find("properties"); properties != schema.end()) {
        for (const auto &[key, value] : properties->items()) {
            keys += (keys.empty() ? "" : ", ") + key;
        }
    }
    return keys;
}

std::string descriptionOf(const Json &schema)
{
    return schema.value("description", std::string("valid"));
}

} // namespace

struct Schema::Private
{
    Json json;
    valijson::Schema schema;
};

Schema::Schema(std::string_view text) : d(std::make_unique<Private>())
{
    d->json = Json::parse(text);
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(d->json), d->schema);
}

Schema::~Schema() = default;

const Json &Schema::json() const
{
    return d->json;
}

std::vector<documents::DocumentFault> Schema::check(const Json &json) const
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(d->schema, valijson::adapters::NlohmannJsonAdapter(json), &results);
    std::vector<documents::DocumentFault> faults;
    std::set<std::string> seen;
    const auto add = [&](const std::string &path, std::string problem) {
        if (seen.insert(path).second) {
            faults.push_back({path, std::move(problem)});
        }
    };
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        const std::string_view what = error.description;
        if (what.starts_with("Failed to validate")) {
            continue; // a nested fault, which has its own entry
        }
        std::vector<std::string> steps;
        const Json *schema = &d->json;
        for (std::size_t n = 1; n < error.context.size(); ++n) {
            steps.push_back(withoutBrackets(error.context[n]));
            schema = schema ? childSchema(*schema, steps.back()) : nullptr;
        }
        if (!schema) {
            add(joinPath(steps), "violates the schema");
            continue;
        }
        if (what.starts_with("Missing required property")) {
            steps.push_back(textInQuotes(what));
            const auto *child = childSchema(*schema, steps.back());
            add(joinPath(steps), "is required: " + (child ? descriptionOf(*child) : std::string()));
        } else if (what.starts_with("Object contains a property")) {
            const auto key = textInQuotes(what.substr(what.rfind(':') == std::string_view::npos ? 0 : what.rfind(':')));
            const std::string known = knownKeys(*schema);
            for (const auto &[name, value] :
                 (steps.empty() ? json : json.at(Json::json_pointer("/" + joinPath(steps)))).items()) {
                const auto properties = schema->find("properties");
                if (properties != schema->end() && !properties->contains(name)) {
                    auto full = steps;
                    full.push_back(name);
                    add(joinPath(full), "is not a known key; the known keys are " + known);
                }
            }
        } else {
            add(joinPath(steps), "must be " + descriptionOf(*schema));
        }
    }
    return faults;
}

} // namespace monsoonspool::codec
