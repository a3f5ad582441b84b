#include "cli/client.h"

#include "http/apiclient.h"

#include <iostream>

namespace monsoonspool::cli {

namespace {

constexpr int FirstErrorStatus = 400;
constexpr std::chrono::milliseconds CallTimeout{15'000};

} // namespace

bool Reply::isOk() const
{
    return status < FirstErrorStatus;
}

Failure Reply::failure() const
{
    return {errorKindFromName(json.value("error", std::string())), json.value("detail", std::string())};
}

Client::Client(ports::Address address, std::string key) : m_address(std::move(address)), m_key(std::move(key))
{
}

Result<Reply> Client::call(std::string_view method, std::string_view target, std::string_view body) const
{
    http::ApiCall call;
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeout = CallTimeout;
    if (!m_key.empty()) {
        call.fields.emplace_back("Authorization", "Bearer " + m_key);
    }
    BOOST_LEAF_AUTO(answer, http::callAndWait(m_address, call));
    BOOST_LEAF_AUTO(json, codec::parseLargeJson(answer.body));
    return Reply{answer.status, std::move(json)};
}

void printFaults(const codec::Json &json)
{
    for (const auto &it : json.value("faults", codec::Json::array())) {
        const auto path = it.value("path", std::string());
        std::cerr << (path.empty() ? "(root)" : path) << " " << it.value("problem", std::string()) << "\n";
    }
}

} // namespace monsoonspool::cli
