#pragma once

#include "ports/asyncresult.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::ports {

// The platform's object store, a map from names to values. put() is idempotent, so it is
// retried after a lost reply.
//
// Failures: StoreUnavailable, and for put and remove StoreReplyLost.
// Not thread-safe. Handlers are called on the thread that makes the calls.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void put(std::string_view name, std::string_view value, Handler<Done> handler) = 0;

    // Reads the object `name`; nullopt if it does not exist.
    virtual void get(std::string_view name, Handler<std::optional<std::string>> handler) = 0;

    // Removes the object `name`. Succeeds even if it does not exist.
    virtual void remove(std::string_view name, Handler<Done> handler) = 0;
};

} // namespace monsoonspool::ports
