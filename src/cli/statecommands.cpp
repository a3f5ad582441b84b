#include "cli/arguments.h"
#include "cli/command.h"
#include "http/apiserver.h"

#include <iostream>

namespace monsoonspool::cli {

namespace {

constexpr int Indent = 2;

class StateCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "state";
    }
    std::string_view summary() const override
    {
        return "print the state of a daemon as one JSON object";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::ValueArg<std::string> section("", "section", "print only this section", false, "", "NAME", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call("GET", "/state?section=" + http::encodeUrl(section.getValue())));
        if (!reply.isOk()) {
            return fail(reply.failure().kind, reply.failure().detail);
        }
        std::cout << codec::writeJson(reply.json, line.isJson() ? -1 : Indent) << "\n";
        return 0;
    }
};

} // namespace

std::vector<Command *> stateCommands()
{
    static StateCommand state;
    return {&state};
}

} // namespace monsoonspool::cli
