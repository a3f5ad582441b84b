#include "cli/command.h"

#include <algorithm>
#include <iostream>
#include <string>

using namespace monsoonspool;

namespace {

std::vector<cli::Command *> allCommands()
{
    std::vector<cli::Command *> commands;
    for (const auto &group :
         {cli::documentCommands(), cli::jobCommands(), cli::stateCommands(), cli::configCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

void printHelp()
{
    std::cout
        << "monsoonspool: check and apply service documents, submit jobs, inspect daemons, and check configurations\n\n"
        << "USAGE: monsoonspool COMMAND [--address IP:PORT] [--key-file FILE] [--json] ...\n\n";
    for (const auto *it : allCommands()) {
        std::cout << "  " << it->name() << std::string(20 - std::min<std::size_t>(19, it->name().size()), ' ')
                  << it->summary() << "\n";
    }
    std::cout << "\nEXIT STATUS\n  0 success\n  1 the documents differ (document diff)\n";
    for (const auto &row : errorTable()) {
        std::cout << "  " << row.exitStatus << (row.exitStatus < 10 ? "  " : " ") << row.name << ": " << row.meaning
                  << "\n";
    }
    std::cout << "  " << cli::ConfigHasWarnings << "  the configuration has warnings, but no errors (config check)\n"
              << "  " << cli::ConfigHasErrors << "  the configuration has errors (config check)\n";
}

// Returns the number of words of a command's name, for example 2 for "document apply".
std::size_t wordCount(std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count(name, ' ')) + 1;
}

std::string firstWords(std::span<const std::string> arguments, std::size_t n)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(n, arguments.size()); ++i) {
        text += (i == 0 ? "" : " ") + arguments[i];
    }
    return text;
}

Result<int> runCommand(std::span<const std::string> arguments)
{
    for (auto *it : allCommands()) {
        const std::size_t words = wordCount(it->name());
        if (firstWords(arguments, words) == it->name()) {
            return it->run(arguments.subspan(words));
        }
    }
    return fail(ErrorKind::InvalidArguments,
                "unknown command '" + firstWords(arguments, 2) + "'; see monsoonspool --help");
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h") {
        printHelp();
        return arguments.empty() ? errorInfo(ErrorKind::InvalidArguments).exitStatus : 0;
    }
    if (arguments.front() == "--version") {
        std::cout << "monsoonspool " << MONSOONSPOOL_VERSION << "\n";
        return 0;
    }
    return handleFailure([&] { return runCommand(arguments); },
                         [](const Failure &failure) {
                             const auto &row = errorInfo(failure.kind);
                             std::cerr << "monsoonspool: " << row.name << ": " << row.meaning
                                       << (failure.detail.empty() ? "" : " (" + failure.detail + ")") << "\n";
                             return row.exitStatus;
                         });
}
