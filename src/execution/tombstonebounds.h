#pragma once

#include "common/time.h"

#include <algorithm>
#include <cstddef>

// Bounds of tombstones: rows of jobs that were cancelled before they were accepted. They keep a
// submission that is still under way from being accepted.
namespace monsoonspool::execution {

// How late a submission may reach the store after the cancellation of its job was answered.
//
// A client waits this long for an answer, and calls this often, with a pause between the calls.
inline constexpr Duration ClientDeadline = 3s;
inline constexpr int MaxClientAttempts = 5;
inline constexpr Duration ClientRetryPause = 1s;
// It may send a request again this long after it was answered.
inline constexpr Duration MaxRepetitionDelay = 5s;
// A host may be frozen before it reads the request and again before it sends its last commit. In
// between it tries to store the job until the client's deadline.
inline constexpr Duration MaxHostFreeze = 4s;
// The store may perform a write this long after it was sent.
inline constexpr Duration MaxCommitDelay = 10s;

inline constexpr Duration LatestSubmission = MaxClientAttempts * (ClientDeadline + ClientRetryPause)
    + MaxRepetitionDelay + 2 * MaxHostFreeze + ClientDeadline + MaxCommitDelay;
// For what the bounds above do not cover, such as a host that is frozen twice.
inline constexpr Duration TombstoneMargin = 74s;
// A tombstone is removed at this age, which counts from when the leader first read it.
inline constexpr Duration TombstoneLifetime = LatestSubmission + TombstoneMargin;
// The platform shows the status of a job for this long; requests about it are expected until then.
inline constexpr Duration StatusTime = 120s;
static_assert(TombstoneMargin >= 60s && TombstoneLifetime >= StatusTime);

// Each host writes tombstones at this rate, and this many at once. Only cancellations of jobs that are
// not stored count. Five hosts write less than one leader removes.
inline constexpr int TombstonesPerSecond = 5;
inline constexpr int TombstoneBurst = 400;
// No host writes tombstones while the store holds this many. They take 2 MB of a leader's memory.
inline constexpr std::size_t MaxTombstones = 10000;

} // namespace monsoonspool::execution
