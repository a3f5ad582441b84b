#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoonspool {

// One input or outcome of a decision, as text.
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

// Takes down what was decided and why, so that a failure can be explained later.
// Decisions know only this interface; writing never blocks them.
class DecisionLog
{
public:
    virtual ~DecisionLog() = default;
    virtual void record(std::string_view event, std::initializer_list<DecisionField> fields) = 0;
};

} // namespace monsoonspool
