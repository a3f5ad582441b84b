#pragma once

#include "common/error.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace monsoonspool::soak {

// How a worker treats the connections on which it is called.
enum class ConnectionKind {
    Keep, // answers every request and keeps the connection
    EndEach, // ends a connection after each response, without announcing it
    EndAfter, // ends a connection after a number of responses
    EndIdle, // ends a connection that was idle for some time
    Reset, // resets some connections instead of responding
    IgnoreOrders, // some workers accept orders without executing or answering them, and answer listings
    Mix, // one of the others for each worker
};

// Fails with InvalidArguments.
Result<ConnectionKind> parseConnectionKind(std::string_view text);
std::string_view connectionKindName(ConnectionKind kind);

enum class RequestFate {
    Answer,
    AnswerThenClose,
    ResetUnexecuted,
    ResetExecuted,
    Ignore,
};

class ConnectionBehavior
{
public:
    virtual ~ConnectionBehavior() = default;

    // Decides the fate of a request for `path`, the `n`th on its connection, counting from 1.
    virtual RequestFate fate(std::string_view path, int n) = 0;

    // Returns how long a connection may be idle before it is ended.
    virtual std::optional<std::chrono::milliseconds> idleLimit() const
    {
        return std::nullopt;
    }

    // Returns whether orders to start a task are executed.
    virtual bool takesOrders() const
    {
        return true;
    }
};

// Returns the kind of worker `n`: `kind`, or one of a mix. It is Keep for the workers that answer
// orders among those of IgnoreOrders.
ConnectionKind workerConnectionKind(ConnectionKind kind, std::uint64_t seed, int n);

// Returns the behavior of worker `n`. Equal seeds give equal behaviors.
std::unique_ptr<ConnectionBehavior> makeConnectionBehavior(ConnectionKind kind, std::uint64_t seed, int n);

} // namespace monsoonspool::soak
