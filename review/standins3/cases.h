// The cases of the third review. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
#pragma once

#include "record.h"

namespace review {

// Returns whether the case includes its disruption.
bool hasTrouble();

int runHistoryCase(Record &record);
int runRepeatsCase(Record &record);

} // namespace review
