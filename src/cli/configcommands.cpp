#include "cli/arguments.h"
#include "cli/command.h"
#include "configcheck.h"
#include "daemon/settingsjson.h"

#include <iostream>

namespace monsoonspool::cli {

namespace {

class CheckCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "config check";
    }
    std::string_view summary() const override
    {
        return "check a configuration of the users' platform before it is sent; exit status 7 or 8 if there are "
               "findings";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> file("file", "the configuration", true, "", "FILE", line.line());
        TCLAP::ValueArg<std::string> against("", "against", "the configuration in force", false, "", "FILE",
                                             line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(text, daemon::readFile(file.getValue()));
        std::string inForce;
        if (against.isSet()) {
            BOOST_LEAF_ASSIGN(inForce, daemon::readFile(against.getValue()));
        }
        const auto report = platform::checkConfiguration(
            text, against.isSet() ? std::optional<std::string_view>(inForce) : std::nullopt);
        if (line.isJson()) {
            std::cout << platform::encodeReport(report) << "\n";
        } else {
            std::cout << platform::formatReport(report, file.getValue());
        }
        if (report.count(documents::Severity::Error) > 0) {
            return ConfigHasErrors;
        }
        return report.findings.empty() ? 0 : ConfigHasWarnings;
    }
};

} // namespace

std::vector<Command *> configCommands()
{
    static CheckCommand check;
    return {&check};
}

} // namespace monsoonspool::cli
