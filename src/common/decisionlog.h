#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoonspool {

// An input or outcome of a decision, formatted as text.
struct DecisionField
{
    DecisionField(std::string_view fieldKey, std::string_view fieldValue) : key(fieldKey), value(fieldValue)
    {
    }
    template <std::integral T>
    DecisionField(std::string_view fieldKey, T number) : key(fieldKey), value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

// Records decisions with their inputs, for the analysis of failures. Decision code depends
// only on this interface. record() must not block.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;
    virtual void record(std::string_view event, std::initializer_list<DecisionField> fields) = 0;
};

} // namespace monsoonspool
