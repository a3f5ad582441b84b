#pragma once

#include "daemon/settings.h"
#include "documents/servicedocument.h"

#include <string_view>
#include <vector>

namespace monsoonspool::daemon {

// The result of decoding a settings file. `settings` is valid only if there are no
// faults.
struct DecodedSettings
{
    Settings settings;
    std::vector<documents::DocumentFault> faults;
};

// Validates and decodes the text of a settings file. Reports all faults.
DecodedSettings decodeSettings(std::string_view text);

// Reads a file completely. Fails with InvalidSettings if it cannot be opened.
Result<std::string> readFile(const std::string &path);

// Reads the keys in `path`, one per line. Fails with InvalidSettings if the file cannot
// be opened, contains no key, or contains a key shorter than 16 characters.
Result<std::vector<std::string>> readKeys(const std::string &path);

} // namespace monsoonspool::daemon
