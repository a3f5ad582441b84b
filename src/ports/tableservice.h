#pragma once

#include "ports/asyncresult.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// A row with the version that its last write gave it. Versions of one table
// grow with every commit and are never used again.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const Row &) const = default;
};

// Expected by a write that takes effect whatever the row's version is.
constexpr std::uint64_t AnyVersion = UINT64_MAX;

// One write of a commit. It takes effect only if the row's version is
// `expectedVersion`; 0 means that there must be no such row.
struct RowWrite
{
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    bool isRemoval = false;
};

// The platform's transactional table service.
//
// A commit applies all of its writes or none. Failures:
//  - StoreUnavailable: the call certainly had no effect,
//  - StoreReplyLost: a commit may have had its effect; read back to find out,
//  - StoreConflict: a row had another version; the commit had no effect. The
//    detail is the key of that row.
//
// Used from one thread; handlers are called on that thread.
class TableService
{
public:
    virtual ~TableService() = default;

    // Reads the row `key`; nullopt if there is none.
    virtual void read(std::string_view key, Handler<std::optional<Row>> handler) = 0;

    // Reads up to `limit` rows with first <= key < last, in the order of keys.
    virtual void scan(std::string_view first, std::string_view last, int limit, Handler<std::vector<Row>> handler) = 0;

    // Applies `writes` together; hands over the version that they gave the rows.
    virtual void commit(std::span<const RowWrite> writes, Handler<std::uint64_t> handler) = 0;
};

} // namespace monsoonspool::ports
