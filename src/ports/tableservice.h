#pragma once

#include "ports/asyncresult.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// A row with the version of its last write. The versions of a table increase with every
// commit and are never reused.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const Row &) const = default;
};

// Expected version of an unconditional write.
constexpr std::uint64_t AnyVersion = UINT64_MAX;

// One write of a commit, conditional on the row's version being `expectedVersion`; 0 means
// that the row must not exist.
struct RowWrite
{
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    bool isRemoval = false;
};

// The platform's transactional table service. Commits are atomic.
//
// Failures:
//  - StoreUnavailable: the call had no effect,
//  - StoreReplyLost: a commit may have been applied; a read shows whether it was,
//  - StoreConflict: a row had another version, and the commit had no effect. The detail is
//    the key of that row.
//
// Not thread-safe. Handlers are called on the thread that makes the calls.
class TableService
{
public:
    virtual ~TableService() = default;

    // Reads the row `key`; nullopt if it does not exist.
    virtual void read(std::string_view key, Handler<std::optional<Row>> handler) = 0;

    // Reads up to `limit` rows with first <= key < last, sorted by key.
    virtual void scan(std::string_view first, std::string_view last, int limit, Handler<std::vector<Row>> handler) = 0;

    // Applies `writes` atomically and returns the new version of the rows.
    virtual void commit(std::span<const RowWrite> writes, Handler<std::uint64_t> handler) = 0;
};

} // namespace monsoonspool::ports
