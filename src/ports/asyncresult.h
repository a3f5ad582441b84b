#pragma once

#include "common/error.h"

#include <functional>
#include <utility>
#include <variant>

namespace monsoonspool::ports {

// The result of an asynchronous call: a value or a failure.
template <typename T>
class AsyncResult
{
public:
    AsyncResult(T value) // NOLINT(google-explicit-constructor)
        : m_content(std::move(value))
    {
    }
    AsyncResult(Failure failure) // NOLINT(google-explicit-constructor)
        : m_content(std::move(failure))
    {
    }

    bool isOk() const
    {
        return m_content.index() == 0;
    }
    const T &value() const
    {
        return std::get<0>(m_content);
    }
    const Failure &failure() const
    {
        return std::get<1>(m_content);
    }

private:
    std::variant<T, Failure> m_content;
};

// Completion handler. Called exactly once, never from within the call itself, on the
// thread that made the call.
template <typename T>
using Handler = std::function<void(const AsyncResult<T> &)>;

// The result of a successful call that returns no value.
struct Done
{
};

} // namespace monsoonspool::ports
