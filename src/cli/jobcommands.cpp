#include "cli/arguments.h"
#include "cli/command.h"
#include "codec/json.h"
#include "daemon/settingsjson.h"
#include "http/apiserver.h"

#include <iostream>

namespace monsoonspool::cli {

using codec::Json;

namespace {

constexpr int Ok = 0;

void printJob(const Json &job)
{
    const auto worker = job.value("worker", std::string());
    const auto result = job.value("result", std::string());
    std::cout << job.value("job", std::string()) << " " << job.value("state", std::string())
              << " attempts=" << job.value("attempts", 0) << (worker.empty() ? "" : " worker=" + worker)
              << (result.empty() ? "" : " result=" + result) << "\n";
}

Result<int> printReply(const Reply &reply, bool isJson)
{
    if (!reply.isOk()) {
        if (isJson) {
            std::cout << codec::writeJson(reply.json) << "\n";
        }
        printFaults(reply.json);
        return fail(reply.failure().kind, reply.failure().detail);
    }
    if (isJson) {
        std::cout << codec::writeJson(reply.json) << "\n";
    } else if (reply.json.contains("jobs")) {
        for (const auto &it : reply.json["jobs"]) {
            printJob(it);
        }
    } else {
        printJob(reply.json);
    }
    return Ok;
}

std::string jobTarget(std::string_view job)
{
    return "/jobs/" + http::encodeUrl(job);
}

class SubmitCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "job submit";
    }
    std::string_view summary() const override
    {
        return "submit a job; submitting a key that the team already used returns the existing job";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::ValueArg<std::string> file("", "file", "JSON file with the job; replaces the other job arguments", false,
                                          "", "FILE", line.line());
        TCLAP::ValueArg<std::string> team("", "team", "the team", false, "", "NAME", line.line());
        TCLAP::ValueArg<std::string> key("", "job-key", "key that identifies the job within its team", false, "", "KEY",
                                         line.line());
        TCLAP::ValueArg<std::string> command("", "command", "command that the worker runs", false, "", "TEXT",
                                             line.line());
        TCLAP::ValueArg<double> cores("", "cores", "processor cores", false, 1, "N", line.line());
        TCLAP::ValueArg<long long> memory("", "memory-mib", "memory in MiB", false, 512, "N", line.line());
        TCLAP::SwitchArg urgent("", "urgent", "schedule it before batch jobs", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        std::string body;
        if (file.isSet()) {
            BOOST_LEAF_ASSIGN(body, daemon::readFile(file.getValue()));
        } else {
            body = codec::writeJson({{"team", team.getValue()},
                                     {"key", key.getValue()},
                                     {"command", command.getValue()},
                                     {"cores", cores.getValue()},
                                     {"memoryMiB", memory.getValue()},
                                     {"urgency", urgent.getValue() ? "urgent" : "batch"}});
        }
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call("POST", "/jobs", body));
        return printReply(reply, line.isJson());
    }
};

class ListCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "job list";
    }
    std::string_view summary() const override
    {
        return "list jobs, newest first";
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(name(), summary());
        TCLAP::ValueArg<std::string> team("", "team", "list only the jobs of this team", false, "", "NAME",
                                          line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call("GET", "/jobs?team=" + http::encodeUrl(team.getValue())));
        return printReply(reply, line.isJson());
    }
};

// A command that sends a request without a body for one job.
class SingleJobCommand : public Command
{
public:
    SingleJobCommand(std::string_view name, std::string_view summary, std::string_view method)
        : m_name(name), m_summary(summary), m_method(method)
    {
    }
    std::string_view name() const override
    {
        return m_name;
    }
    std::string_view summary() const override
    {
        return m_summary;
    }
    Result<int> run(std::span<const std::string> arguments) override
    {
        Arguments line(m_name, m_summary);
        TCLAP::UnlabeledValueArg<std::string> job("job", "the job", true, "", "ID", line.line());
        BOOST_LEAF_CHECK(line.parse(arguments));
        BOOST_LEAF_AUTO(client, line.client());
        BOOST_LEAF_AUTO(reply, client.call(m_method, jobTarget(job.getValue())));
        return printReply(reply, line.isJson());
    }

private:
    std::string_view m_name;
    std::string_view m_summary;
    std::string_view m_method;
};

} // namespace

std::vector<Command *> jobCommands()
{
    static SubmitCommand submit;
    static ListCommand list;
    static SingleJobCommand get("job get", "show a job and its result", "GET");
    static SingleJobCommand cancel("job cancel", "cancel a job", "DELETE");
    return {&submit, &list, &get, &cancel};
}

} // namespace monsoonspool::cli
