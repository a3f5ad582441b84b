#pragma once

#include "documents/servicedocument.h"
#include "placement/job.h"

#include <string_view>
#include <vector>

namespace monsoonspool::codec {

struct DecodedJob
{
    placement::JobSpec spec;
    std::vector<documents::DocumentFault> faults;
};

// Parses, validates and decodes the text of a job. Reports all schema faults.
DecodedJob decodeJob(std::string_view text);

} // namespace monsoonspool::codec
