#pragma once

#include "ports/asyncresult.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonspool::ports {

// The platform's object store: whole values by name. Putting the same value
// again is harmless, so that a put whose reply was lost is simply repeated.
//
// Failures: StoreUnavailable, and for put and remove StoreReplyLost.
// Used from one thread; handlers are called on that thread.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void put(std::string_view name, std::string_view value, Handler<Done> handler) = 0;

    // Reads the object `name`; nullopt if there is none.
    virtual void get(std::string_view name, Handler<std::optional<std::string>> handler) = 0;

    // Removes the object `name`; succeeds also if there is none.
    virtual void remove(std::string_view name, Handler<Done> handler) = 0;
};

} // namespace monsoonspool::ports
