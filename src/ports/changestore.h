#pragma once

#include "common/time.h"
#include "ports/asyncresult.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::ports {

// Where a row lies. Rows of one part are changed together cheaply; a commit over
// several parts costs more.
struct RowName
{
    std::string table;
    std::string part;
    std::string key;
    auto operator<=>(const RowName &) const = default;
};

// A row with the version of the commit that wrote it last. All tables share one
// counter of versions, so that versions order all changes.
struct StoredRow
{
    RowName name;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
};

// The version that a row must have for a commit to apply; 0 if it must not exist.
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

// Writes that apply together, or not at all.
struct Commit
{
    std::vector<ExpectedVersion> conditions;
    std::vector<RowValue> writes;
    std::vector<RowName> removals;
};

// What became of a commit: applied with `version`, or refused because rows had
// other versions, with these rows as they are.
struct CommitResult
{
    bool isApplied = false;
    std::uint64_t version = 0;
    std::vector<StoredRow> current;
};

// Rows in the order of their keys, as of one moment.
struct RowPage
{
    std::vector<StoredRow> rows;
    bool isTruncated = false; // more rows follow the last one
    std::uint64_t version = 0; // newest version of the whole store
};

// A transactional store of rows that tells of changes.
//
// Failures:
//  - StoreUnavailable: the call certainly had no effect,
//  - StoreReplyLost: a commit may have its effect now or seconds later,
//  - StoreHistoryDropped: changes() cannot continue from so far back.
//
// Used from one thread; handlers are called on that thread.
class ChangeStore
{
public:
    virtual ~ChangeStore() = default;

    virtual void commit(Commit commit, Handler<CommitResult> handler) = 0;

    // Reads rows with first <= key < last; an empty `last` has no end.
    virtual void scan(std::string_view table, std::string_view part, std::string_view first, std::string_view last,
                      Handler<RowPage> handler)
        = 0;

    // Hands over the rows of `table` that changed after version `after`, or none
    // if nothing changed for `wait`. The page's version is where to continue.
    virtual void changes(std::string_view table, std::uint64_t after, Duration wait, Handler<RowPage> handler) = 0;
};

} // namespace monsoonspool::ports
