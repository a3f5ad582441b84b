#include "cli/arguments.h"
#include "cli/command.h"
#include "codec/documentjson.h"
#include "daemon/settingsjson.h"
#include "http/apiserver.h"

#include <iostream>

namespace monsoonspool::cli {

using codec::Json;

namespace {

constexpr int Ok = 0;
constexpr int DifferencesFound = 1; // exit status of diff if the documents differ

void printDifferences(const Json &differences)
{
    for (const auto &it : differences) {
        const auto before = it.value("before", std::string());
        const auto after = it.value("after", std::string());
        std::cout << it.value("path", std::string()) << ": " << (before.empty() ? "(none)" : before) << " -> "
                  << (after.empty() ? "(none)" : after) << "\n";
    }
}

Json toJson(std::span<const codec::DocumentDifference> differences)
{
    Json rows = Json::array();
    for (const auto &it : differences) {
        rows.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
    }
    return rows;
}

// Reads and validates a document. Prints all faults and fails with InvalidDocument if
// there are any.
Result<documents::ServiceDocument> readDocument(const std::string &path, std::string &text)
{
    BOOST_LEAF_ASSIGN(text, daemon::readFile(path));
    auto decoded = codec::decodeDocument(text);
    for (const auto &it : decoded.faults) {
        std::cerr << path << ": " << (it.path.empty() ? "(root)" : it.path) << " " << it.problem << "\n";
    }
    if (!decoded.faults.empty()) {
        return fail(ErrorKind::InvalidDocument, std::to_string(decoded.faults.size()) + " faults in " + path);
    }
    return std::move(decoded.document);
}

std::string documentTarget(std::string_view service)
{
    return "/documents/" + http::encodeUrl(service);
}

// Fetches the number and text of the revision in force; 0 and an empty text if there is
// none.
Result<std::pair<std::uint64_t, std::string>> fetchCurrent(const Client &client, std::string_view service)
{
    BOOST_LEAF_AUTO(reply, client.call("GET", documentTarget(service)));
    if (reply.isOk()) {
        return std::pair(reply.json.value("revision", std::uint64_t{0}), reply.json.value("text", std::string()));
    }
    const auto failure = reply.failure();
    if (failure.kind == ErrorKind::UnknownResource) {
        return std::pair(std::uint64_t{0}, std::string());
    }
    return fail(failure.kind, failure.detail);
}

// Fetches the text of one revision from the document's history.
Result<std::string> fetchRevisionText(const Client &client, std::string_view service, std::uint64_t revision)
{
    BOOST_LEAF_AUTO(reply, client.call("GET", documentTarget(service) + "/history"));
    if (!reply.isOk()) {
        return fail(reply.failure().kind, reply.failure().detail);
    }
    for (const auto &it : reply.json.value("revisions", Json::array())) {
        if (it.value("revision", std::uint64_t{0}) == revision) {
            return it.value("text", std::string());
        }
    }
    return fail(ErrorKind::UnknownResource, "revision " + std::to_string(revision) + " does not exist");
}

class ValidateCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document validate";
    }
    std::string_view summary() const override
    {
        return "validate a document without applying it";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> file("file", "the document", true, "", "FILE", line.line());
        TCLAP::SwitchArg together("", "together", "also validate it against the documents in force at a daemon",
                                  line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        std::string text;
        BOOST_LEAF_AUTO(document, readDocument(file.getValue(), text));
        if (together.getValue()) {
            BOOST_LEAF_AUTO(client, line.client());
            BOOST_LEAF_AUTO(reply, client.call("POST", "/documents", text));
            if (!reply.isOk()) {
                printFaults(reply.json);
                return fail(reply.failure().kind, reply.failure().detail);
            }
        }
        if (line.isJson()) {
            std::cout << codec::writeJson({{"service", document.service.view()}, {"valid", true}}) << "\n";
        } else {
            std::cout << file.getValue() << " is valid\n";
        }
        return Ok;
    }
};

class DiffCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document diff";
    }
    std::string_view summary() const override
    {
        return "compare a document with the revision in force, or two revisions; exit status 1 if they differ";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> what("file", "the document, or the service's name with --from and --to",
                                                   true, "", "FILE|NAME", line.line());
        TCLAP::ValueArg<std::uint64_t> from("", "from", "the earlier revision", false, 0, "N", line.line());
        TCLAP::ValueArg<std::uint64_t> to("", "to", "the later revision", false, 0, "N", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        std::string before;
        std::string after;
        if (from.isSet() && to.isSet()) {
            BOOST_LEAF_ASSIGN(before, fetchRevisionText(client, what.getValue(), from.getValue()));
            BOOST_LEAF_ASSIGN(after, fetchRevisionText(client, what.getValue(), to.getValue()));
        } else {
            BOOST_LEAF_AUTO(document, readDocument(what.getValue(), after));
            BOOST_LEAF_AUTO(current, fetchCurrent(client, document.service.view()));
            before = current.second;
        }
        BOOST_LEAF_AUTO(differences, codec::diffDocuments(before, after));
        const auto json = toJson(differences);
        if (line.isJson()) {
            std::cout << codec::writeJson({{"differences", json}}) << "\n";
        } else {
            printDifferences(json);
        }
        return differences.empty() ? Ok : DifferencesFound;
    }
};

class ApplyCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document apply";
    }
    std::string_view summary() const override
    {
        return "apply a document";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> file("file", "the document", true, "", "FILE", line.line());
        TCLAP::ValueArg<std::uint64_t> base("", "base", "the edited revision; the default is the revision in force",
                                            false, 0, "N", line.line());
        TCLAP::ValueArg<std::string> author("", "author", "author to record in the history", false, "", "NAME",
                                            line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        std::string text;
        BOOST_LEAF_AUTO(document, readDocument(file.getValue(), text));
        BOOST_LEAF_AUTO(client, line.client());
        std::uint64_t baseRevision = base.getValue();
        if (!base.isSet()) {
            BOOST_LEAF_AUTO(current, fetchCurrent(client, document.service.view()));
            baseRevision = current.first;
        }
        const auto target = documentTarget(document.service.view()) + "?base=" + std::to_string(baseRevision)
            + "&author=" + http::encodeUrl(author.getValue());
        BOOST_LEAF_AUTO(reply, client.call("PUT", target, text));
        if (line.isJson()) {
            std::cout << codec::writeJson(reply.json) << "\n";
        }
        if (!reply.isOk()) {
            printFaults(reply.json);
            if (!line.isJson()) {
                printDifferences(reply.json.value("differences", Json::array()));
            }
            return fail(reply.failure().kind, reply.failure().detail);
        }
        if (!line.isJson()) {
            printDifferences(reply.json.value("differences", Json::array()));
            std::cout << document.service.view() << " is at revision " << reply.json.value("revision", 0) << "\n";
        }
        return Ok;
    }
};

class GetCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document get";
    }
    std::string_view summary() const override
    {
        return "print the text of a document";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> service("name", "the service", true, "", "NAME", line.line());
        TCLAP::ValueArg<std::uint64_t> revision("", "revision", "the revision; the default is the one in force", false,
                                                0, "N", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        std::uint64_t number = revision.getValue();
        std::string text;
        if (revision.isSet()) {
            BOOST_LEAF_ASSIGN(text, fetchRevisionText(client, service.getValue(), number));
        } else {
            BOOST_LEAF_AUTO(current, fetchCurrent(client, service.getValue()));
            if (current.first == 0) {
                return fail(ErrorKind::UnknownResource, "document '" + service.getValue() + "' does not exist");
            }
            std::tie(number, text) = current;
        }
        if (line.isJson()) {
            std::cout << codec::writeJson({{"service", service.getValue()}, {"revision", number}, {"text", text}})
                      << "\n";
        } else {
            std::cout << text << (text.ends_with('\n') ? "" : "\n");
        }
        return Ok;
    }
};

class HistoryCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document history";
    }
    std::string_view summary() const override
    {
        return "list the revisions of a document";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::UnlabeledValueArg<std::string> service("name", "the service", true, "", "NAME", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call("GET", documentTarget(service.getValue()) + "/history"));
        if (!reply.isOk()) {
            return fail(reply.failure().kind, reply.failure().detail);
        }
        if (line.isJson()) {
            std::cout << codec::writeJson(reply.json) << "\n";
            return Ok;
        }
        for (const auto &it : reply.json.value("revisions", Json::array())) {
            std::cout << it.value("revision", 0) << " " << it.value("author", std::string()) << "\n";
        }
        return Ok;
    }
};

class StatusCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "document status";
    }
    std::string_view summary() const override
    {
        return "show the position of each daemon in the feed of document changes";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call("GET", "/documents/status"));
        if (!reply.isOk()) {
            return fail(reply.failure().kind, reply.failure().detail);
        }
        if (line.isJson()) {
            std::cout << codec::writeJson(reply.json) << "\n";
            return Ok;
        }
        for (const auto &it : reply.json.value("hosts", Json::array())) {
            std::cout << it.value("host", std::string()) << " position " << it.value("position", 0)
                      << (it.value("isCurrent", false) ? "" : " (behind)") << "\n";
        }
        return Ok;
    }
};

} // namespace

std::vector<Command *> documentCommands()
{
    static ValidateCommand validate;
    static DiffCommand diff;
    static ApplyCommand apply;
    static GetCommand get;
    static HistoryCommand history;
    static StatusCommand status;
    return {&validate, &diff, &apply, &get, &history, &status};
}

} // namespace monsoonspool::cli
