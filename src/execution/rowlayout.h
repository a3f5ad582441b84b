#pragma once

#include "common/identifiers.h"
#include "jobs/taskid.h"
#include "ports/changestore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Where this part of the product keeps what must last.
//
//   table     part   key         written                       read
//   jobs      0..3   ID          once, when a job is accepted  by the leader, as it changes
//   jobs      0..3   ID + "x"    when a job is cancelled       by the leader, as it changes
//   progress  0..3   ID          by the leader, as tasks end;  by any host that is asked
//                                by any host that cancels
//   leader    ""     "leader"    at a claim, then each beat    by all hosts, as it changes
//   roster    ""     "owner"     at a claim                    by the leader, as a condition
//   roster    ""     00..15      before a new worker is used   by a host that claims
//   learned   ""     "presses"   by the leader, each 5 s       by a new leader
//
// The roster is apart from the leader's row, which all hosts follow: a few hundred
// workers that join would send each of their rows to every host.
namespace monsoonspool::execution {

inline constexpr std::string_view JobsTable = "jobs";
inline constexpr std::string_view ProgressTable = "progress";
inline constexpr std::string_view LeaderTable = "leader";
inline constexpr std::string_view LeaderKey = "leader";
inline constexpr std::string_view RosterTable = "roster";
inline constexpr std::string_view RosterOwnerKey = "owner";
inline constexpr std::string_view LearnedTable = "learned";
inline constexpr std::string_view LearnedKey = "presses";
inline constexpr int RosterBuckets = 16; // a worker that joins writes a sixteenth of the roster
inline constexpr char CancelSuffix = 'x';

// Returns the part for rows of `job`. One part takes a few hundred commits a
// second; four carry several times today's peak.
std::string partOf(jobs::JobKey job);
// Returns all parts.
std::vector<std::string> jobParts();

ports::RowName jobRow(jobs::JobKey job);
ports::RowName cancelRow(jobs::JobKey job);
ports::RowName progressRow(jobs::JobKey job);
ports::RowName leaderRow();
// Returns the row that is written at each claim, so that no former leader changes
// the roster after it.
ports::RowName rosterOwnerRow();
// Returns the row with the workers of one bucket.
ports::RowName rosterRow(int bucket);
int rosterBucketOf(const WorkerId &worker);
ports::RowName learnedRow();

// Returns the job that a row's key names, or nothing for a foreign key.
std::optional<jobs::JobKey> jobOfKey(std::string_view key);
// Returns whether the key is that of a cancellation.
bool isCancelKey(std::string_view key);

} // namespace monsoonspool::execution
