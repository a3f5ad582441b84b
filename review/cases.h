#pragma once

#include <string>

namespace standin {

// Plays a case and writes what happens to the file `record`. Returns 0 if the rule held, 1 if it
// was broken, 2 if the case could not run.
int runCase(const std::string &name, const std::string &record);

} // namespace standin
