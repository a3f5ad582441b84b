#pragma once

#include <string_view>

namespace monsoonspool::codec {

// Returns the JSON schema of a service's document.
std::string_view documentSchemaText();

} // namespace monsoonspool::codec
