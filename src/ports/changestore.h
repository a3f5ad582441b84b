#pragma once

#include "common/time.h"
#include "ports/asyncresult.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// The primary key of a row. `part` is a partition of the table: a commit within one
// part is cheaper than a commit that spans several.
struct RowName
{
    std::string table;
    std::string part;
    std::string key;
    auto operator<=>(const RowName &) const = default;
};

// A row with the version of the commit that last wrote it. All tables share one version
// counter, so versions give a total order of all changes.
struct StoredRow
{
    RowName name;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

// Precondition of a commit: the current version of a row, or 0 if it must not exist.
struct ExpectedVersion
{
    RowName name;
    std::uint64_t version = 0;
};

struct RowValue
{
    RowName name;
    std::string value;
};

// A conditional transaction. It is applied atomically, and only if all conditions hold.
struct Commit
{
    std::vector<ExpectedVersion> conditions;
    std::vector<RowValue> writes;
    std::vector<RowName> removals;
};

// Result of a commit: either applied with `version`, or rejected because a condition
// failed, with the current rows of the conditions.
struct CommitResult
{
    bool isApplied = false;
    std::uint64_t version = 0;
    std::vector<StoredRow> current;
};

// Rows sorted by key, from a consistent snapshot.
struct RowPage
{
    std::vector<StoredRow> rows;
    bool isTruncated = false; // more rows follow the last one
    std::uint64_t version = 0; // newest version of the whole store
};

// Most conditions, writes and removals of one commit.
inline constexpr std::size_t MaxCommitEntries = 100;
// Most bytes of values in one commit. The store takes calls of 1 MB, in which values are encoded as
// base64, which adds a third.
inline constexpr std::size_t MaxCommitValueBytes = 512UL * 1024;

// A transactional row store with a change feed.
//
// Failures:
//  - StoreUnavailable: the call had no effect,
//  - StoreReplyLost: a commit may have been applied, or may still be seconds later,
//  - StoreHistoryDropped: the store no longer has all changes after the given version,
//  - Internal: the store does not take the call in this form; it exceeds a limit, for example.
//
// Not thread-safe. Handlers are called on the thread that makes the calls.
class ChangeStore
{
public:
    virtual ~ChangeStore() = default;

    // Returns the size in bytes of the largest value that a row can have.
    virtual std::size_t maxValueSize() const = 0;

    virtual void commit(Commit commit, Handler<CommitResult> handler) = 0;

    // Reads rows with first <= key < last; an empty `last` means no upper bound.
    virtual void scan(std::string_view table, std::string_view part, std::string_view first, std::string_view last,
                      Handler<RowPage> handler)
        = 0;

    // Long poll: returns the rows of `table` that changed after version `after`, or an
    // empty page after `wait`. The next call passes the page's version as `after`.
    virtual void changes(std::string_view table, std::uint64_t after, Duration wait, Handler<RowPage> handler) = 0;
};

} // namespace monsoonspool::ports
