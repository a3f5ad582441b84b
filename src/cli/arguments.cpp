#include "cli/arguments.h"

#include "daemon/settingsjson.h"
#include "http/listen.h"

#include <cstdlib>
#include <iostream>

namespace monsoonspool::cli {

namespace {

constexpr const char *DefaultAddress = "127.0.0.1:8081";

} // namespace

Arguments::Arguments(std::string_view command, std::string_view summary)
    : m_command("monsoonspool " + std::string(command)), m_line(std::string(summary), ' ', MONSOONSPOOL_VERSION),
      m_address("", "address", "operators' address of a daemon", false, DefaultAddress, "IP:PORT", m_line),
      m_keyFile("", "key-file", "file whose first line is the operators' key", false, "", "FILE", m_line),
      m_json("", "json", "print JSON for programs", m_line)
{
    m_line.setExceptionHandling(false);
}

Result<void> Arguments::parse(std::span<const std::string> arguments)
{
    std::vector<std::string> all{m_command};
    all.insert(all.end(), arguments.begin(), arguments.end());
    try {
        m_line.parse(all);
    } catch (const TCLAP::ExitException &e) {
        std::exit(e.getExitStatus());
    } catch (const TCLAP::ArgException &e) {
        return fail(ErrorKind::InvalidArguments, e.error() + " " + e.argId() + "; see " + m_command + " --help");
    }
    return {};
}

Result<Client> Arguments::client()
{
    BOOST_LEAF_AUTO(address, http::parseAddress(m_address.getValue()));
    std::string key;
    if (!m_keyFile.getValue().empty()) {
        BOOST_LEAF_AUTO(keys, daemon::readKeys(m_keyFile.getValue()));
        key = keys.front();
    }
    return Client(address, key);
}

} // namespace monsoonspool::cli
