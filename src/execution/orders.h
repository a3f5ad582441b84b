#pragma once

#include "common/identifiers.h"
#include "jobs/taskid.h"
#include "ports/workerlink.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonspool::execution {

// Scheduling decisions, to be sent to the workers.

struct StartTask
{
    WorkerId worker;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::string checkpoint;
    std::string ticket;
    ports::WorkerMillis deadline = 0;
    std::int64_t startTimeMs = 0; // of the worker process that is to start the run
    bool verifiesProcess = false; // see ports::RunOrder
};

struct StopTask
{
    WorkerId worker;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    std::int64_t startTimeMs = 0; // of the worker process that is to confirm the stop
};

struct PaceTask
{
    WorkerId worker;
    jobs::TaskId task;
    jobs::RunNumber run = 0;
    int percent = 100; // of full speed
};

// Asks for the runs of a worker beside the renewals of its lease.
struct QueryRuns
{
    WorkerId worker;
};

struct Orders
{
    std::vector<StartTask> starts;
    std::vector<StartTask> repeatedStarts; // of runs that were ordered before
    std::vector<StopTask> stops;
    std::vector<PaceTask> paces;
    std::vector<QueryRuns> queries;
    bool areStartsLimited = false; // the plan ended at the most starts that it was permitted
};

} // namespace monsoonspool::execution
