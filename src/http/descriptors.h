#pragma once

#include <cstddef>

namespace monsoonspool::http {

// Returns how many descriptors the process may use for connections: its limit less those that are
// reserved for files.
std::size_t usableDescriptors();

} // namespace monsoonspool::http
