#include "workers/lostruns.h"

#include <algorithm>
#include <utility>

namespace monsoonspool::workers {

std::string_view runEvidenceName(RunEvidence evidence)
{
    switch (evidence) {
    case RunEvidence::Confirmed:
        return "confirmed";
    case RunEvidence::Verified:
        return "verified";
    case RunEvidence::None:
        break;
    }
    return "none";
}

bool Process::isReplacedBy(const Process &later) const
{
    if (worker == later.worker) {
        return startTimeMs != later.startTimeMs;
    }
    return !address.ip.empty() && address == later.address && startTimeMs < later.startTimeMs;
}

void LostRuns::remember(const Process &process, std::vector<LostRun> runs, TimePoint now)
{
    std::erase_if(m_processes, [&](const LostProcess &it) { return now - it.lostAt > RetentionTime; });
    if (!runs.empty() && m_processes.size() < MaxProcesses) {
        m_processes.push_back({process, now, std::move(runs)});
    }
}

std::vector<LostRun> LostRuns::take(const Process &process)
{
    std::vector<LostRun> taken;
    for (const auto &it : m_processes) {
        if (it.process.isReplacedBy(process)) {
            taken.insert(taken.end(), it.runs.begin(), it.runs.end());
        }
    }
    std::erase_if(m_processes, [&](const LostProcess &it) {
        return it.process.worker == process.worker || it.process.isReplacedBy(process);
    });
    return taken;
}

void LostRuns::clear()
{
    m_processes.clear();
}

} // namespace monsoonspool::workers
