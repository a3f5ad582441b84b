#pragma once

#include "common/identifiers.h"
#include "jobs/job.h"
#include "ports/changestore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Store rows that hold the persistent state of job execution.
//
// The rows of a job are removed once it is over, see EndedJobRemover.
//
//   table     part   key         written                       read
//   jobs      0..3   ID          once, when a job is accepted  by the leader, as it changes; by a
//                                                              host that is asked how many wait
//   jobs      0..3   ID + "x"    when a job is cancelled       by the leader, as it changes
//   jobs      0..3   "tombstone/" with a tombstone: when a       by the leader, as it changes
//                    + ID        job is cancelled that is not
//                                stored
//   progress  0..3   ID          by the leader, as tasks end;  by any host that is asked
//                                by any host that cancels,
//                                also before the submission
//                                (a tombstone, removed later)
//   progress  0..3   ID + "." +  by the leader, as tasks end   by a new leader
//                    number
//   progress  0..3   "owner"     at a claim                    as a write condition of the leader
//   leader    ""     "leader"    at a claim, each renewal and  by all hosts, as it changes
//                                when a silent worker answers
//   leader    ""     "ended/" +  when a host learns that its    by all hosts, as it changes
//                    host        term was replaced
//   roster    ""     "owner"     at a claim                    as a write condition of the leader
//   roster    ""     00..15      before a new worker is used   by a host that claims
//                                and when one drains
//   learned   ""     "presses"   by the leader, every 5 s      by a new leader
//
// The roster is not part of the leader table because all hosts watch that table: when
// a few hundred workers join, each of their rows would be sent to every host.
namespace monsoonspool::execution {

inline constexpr std::string_view JobsTable = "jobs";
inline constexpr std::string_view ProgressTable = "progress";
inline constexpr std::string_view ProgressOwnerKey = "owner";
inline constexpr std::string_view LeaderTable = "leader";
inline constexpr std::string_view LeaderKey = "leader";
inline constexpr std::string_view EndedTermPrefix = "ended/";
inline constexpr std::string_view RosterTable = "roster";
inline constexpr std::string_view RosterOwnerKey = "owner";
inline constexpr std::string_view LearnedTable = "learned";
inline constexpr std::string_view LearnedKey = "presses";
inline constexpr int RosterBuckets = 16; // a joining worker rewrites one sixteenth of the roster
inline constexpr char CancelSuffix = 'x';
inline constexpr std::string_view TombstonePrefix = "tombstone/"; // no hexadecimal digit, so the key of no job
inline constexpr char SectionSeparator = '.';

// Returns the store partition for the rows of `job`. One partition sustains a few
// hundred commits per second; four sustain several times the current peak load.
std::string partOf(jobs::JobKey job);
// Returns all partitions that partOf() uses.
std::vector<std::string> jobParts();

ports::RowName jobRow(jobs::JobKey job);
ports::RowName cancelRow(jobs::JobKey job);
// Returns the row that tells the leader of a tombstone, which is the progress row of a job that was
// never accepted. One commit writes both, so they have the same version. It is in the jobs table
// because the leader watches only that one.
ports::RowName tombstoneRow(jobs::JobKey job);
// Returns the row of the job's state and of section 0 of its progress.
ports::RowName progressRow(jobs::JobKey job);
ports::RowName progressRow(const jobs::ProgressSection &section);
// Returns the row of a part that every claim writes. The leader's writes of progress are
// conditional on its version, so that a former leader cannot store progress after a newer
// claim. A claim writes the rows of all parts, so a commit over several parts needs only
// the row of one of them.
ports::RowName progressOwnerRow(std::string_view part);
ports::RowName leaderRow();
// Returns the row with the end of a host's last term that another host has replaced.
ports::RowName endedTermRow(const EntryHostId &host);
// Returns the row that every claim writes. Roster writes are conditional on its
// version, so that a former leader cannot change the roster after a newer claim.
ports::RowName rosterOwnerRow();
// Returns the row that holds the workers of one bucket.
ports::RowName rosterRow(int bucket);
int rosterBucketOf(const WorkerId &worker);
ports::RowName learnedRow();

// Returns the job identified by a row's key, or nullopt if it is not a job's key.
std::optional<jobs::JobKey> jobOfKey(std::string_view key);
// Returns the section of progress identified by the key of a row of the progress table, or nullopt
// if it is no section's key.
std::optional<jobs::ProgressSection> progressSectionOfKey(std::string_view key);
// Returns the job whose tombstone row the key belongs to, or nullopt if it is another key.
std::optional<jobs::JobKey> jobOfTombstoneKey(std::string_view key);
// Returns whether the key belongs to the row that records a job's cancellation.
bool isCancelKey(std::string_view key);

} // namespace monsoonspool::execution
