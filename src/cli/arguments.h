#pragma once

#include "cli/client.h"
#include "common/error.h"

#include <tclap/CmdLine.h>

#include <span>
#include <string>
#include <string_view>

namespace monsoonspool::cli {

// Command-line parser of one command, with the arguments that all commands share.
class Arguments
{
public:
    Arguments(std::string_view command, std::string_view summary);

    TCLAP::CmdLine &line()
    {
        return m_line;
    }

    // Parses the arguments that follow the command's name. Exits on --help. Fails with
    // InvalidArguments.
    Result<void> parse(std::span<const std::string> arguments);

    // Returns a client for --address. Fails with InvalidArguments.
    Result<Client> client();
    bool isJson()
    {
        return m_json.getValue();
    }

private:
    std::string m_command;
    TCLAP::CmdLine m_line;
    TCLAP::ValueArg<std::string> m_address;
    TCLAP::ValueArg<std::string> m_keyFile;
    TCLAP::SwitchArg m_json;
};

} // namespace monsoonspool::cli
