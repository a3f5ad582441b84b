#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace monsoonspool {

// An input or outcome of a decision. It refers to its value and formats it only when the line
// is written, since most lines are left out under load.
class DecisionField
{
public:
    DecisionField(std::string_view key, std::string_view value) : m_key(key), m_text(value)
    {
    }
    template <std::integral T>
    DecisionField(std::string_view key, T number)
        : m_key(key), m_number(static_cast<std::uint64_t>(number)),
          m_kind(std::is_signed_v<T> ? Kind::SignedNumber : Kind::UnsignedNumber)
    {
    }
    // For types with a function decisionText() in their namespace.
    template <typename T>
    requires requires(const T &value)
    {
        {
            decisionText(value)
            } -> std::same_as<std::string>;
    }
    DecisionField(std::string_view key, const T &value)
        : m_key(key), m_object(&value),
          m_format([](const void *object) { return decisionText(*static_cast<const T *>(object)); }),
          m_kind(Kind::Object)
    {
    }

    std::string_view key() const
    {
        return m_key;
    }
    // Returns the formatted value. What was passed to the constructor must still exist.
    std::string text() const
    {
        switch (m_kind) {
        case Kind::Text:
            return std::string(m_text);
        case Kind::SignedNumber:
            return std::to_string(static_cast<std::int64_t>(m_number));
        case Kind::UnsignedNumber:
            return std::to_string(m_number);
        case Kind::Object:
            break;
        }
        return m_format(m_object);
    }

private:
    enum class Kind {
        Text,
        SignedNumber,
        UnsignedNumber,
        Object,
    };

    std::string_view m_key;
    std::string_view m_text;
    std::uint64_t m_number = 0;
    const void *m_object = nullptr;
    std::string (*m_format)(const void *) = nullptr;
    Kind m_kind = Kind::Text;
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
