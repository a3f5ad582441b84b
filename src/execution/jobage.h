#pragma once

#include "common/time.h"
#include "jobs/jobspec.h"

#include <optional>

namespace monsoonspool::execution {

// Returns the age of a job whose row was just read: the time since its acceptance.
//
// `acceptedAt` is by the clock of the accepting host and `wall` by that of this host; both may have
// jumped. `unreadFor` is the time since the last reading of all jobs, which did not contain the row,
// so that the job is no older; nothing before the first reading of a term. A job that is read in the
// course of a term therefore counts from then, and clocks decide only about jobs that may have been
// stored earlier by more than clocks differ.
Duration ageAtReading(jobs::WallTime acceptedAt, jobs::WallTime wall, std::optional<Duration> unreadFor);

} // namespace monsoonspool::execution
