#pragma once

#include "common/error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::cli {

// One command of the command-line tool.
class Command
{
public:
    virtual ~Command() = default;
    virtual std::string_view name() const = 0; // for example "document apply"
    virtual std::string_view summary() const = 0; // one line
    // Runs the command with the arguments that follow its name. Returns the exit status;
    // fails with the error to print.
    virtual Result<int> run(std::span<const std::string> arguments) = 0;
};

std::vector<Command *> documentCommands();
std::vector<Command *> jobCommands();
std::vector<Command *> stateCommands();
std::vector<Command *> configCommands();

// Exit statuses of "config check", which no error kind has.
constexpr int ConfigHasWarnings = 7; // and no errors
constexpr int ConfigHasErrors = 8;

} // namespace monsoonspool::cli
