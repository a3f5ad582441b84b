#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr milliseconds TransactionTime{4};
constexpr milliseconds FeedCheckInterval{4};
constexpr std::size_t MaxRows = 500;

std::string toBase64(std::string_view text)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        const auto byte = [&](std::size_t i) {
            return n + i < text.size() ? static_cast<unsigned>(static_cast<unsigned char>(text[n + i])) : 0U;
        };
        const unsigned bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for (std::size_t i = 0; i < 4; ++i) {
            encoded += n + i <= text.size() ? digits[bits >> (18 - 6 * i) & 63] : '=';
        }
    }
    return encoded;
}

long long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

} // namespace

Store::Store(asio::io_context &io)
    : m_port(freePort(io)),
      m_server(io, m_port, [this](const Request &it) -> asio::awaitable<Response> { return handle(it); })
{
}

void Store::start()
{
    m_server.start();
}

void Store::write(const std::string &table, const std::string &key, const std::string &value)
{
    const Name name(table, "", key);
    auto &row = m_rows[name];
    row = {toBase64(value), ++m_version};
    m_history.push_back({m_version, name, row.value, false});
}

void Store::remove(const std::string &table, const std::string &key)
{
    const Name name(table, "", key);
    if (m_rows.erase(name) > 0) {
        m_history.push_back({++m_version, name, {}, true});
    }
}

asio::awaitable<Response> Store::handle(const Request &request)
{
    const std::string target(request.target());
    const auto body = request.body();
    if (target.starts_with("/rows-tx")) {
        co_await pause(TransactionTime);
        co_return transact(body);
    }
    if (target.starts_with("/rows-get")) {
        co_await pause(TransactionTime);
        co_return scan(target);
    }
    if (target.starts_with("/rows-feed")) {
        co_return co_await follow(target);
    }
    co_return Response{404, "{}"};
}

Response Store::transact(const std::string &body)
{
    const auto json = Json::parse(body);
    const auto nameOf = [](const Json &it) {
        return Name(it.at("table").get<std::string>(), it.value("part", ""), it.at("key").get<std::string>());
    };
    const auto encode = [](const Name &name, const std::string &value, std::uint64_t version) {
        return Json{{"table", std::get<0>(name)},
                    {"part", std::get<1>(name)},
                    {"key", std::get<2>(name)},
                    {"value", value},
                    {"ver", version}};
    };
    Json current = Json::array();
    bool holds = true;
    for (const auto &it : json.value("expectedRev", Json::array())) {
        const auto row = m_rows.find(nameOf(it));
        const auto version = row == m_rows.end() ? 0 : row->second.version;
        holds = holds && version == it.at("ver").get<std::uint64_t>();
        if (row != m_rows.end()) {
            current.push_back(encode(row->first, row->second.value, version));
        }
    }
    if (!holds) {
        return {412, Json{{"rows", current}, {"ver", m_version}, {"nowMs", nowMs()}}.dump()};
    }
    ++m_version;
    for (const auto &it : json.value("setKeys", Json::array())) {
        const auto name = nameOf(it);
        m_rows[name] = {it.at("value").get<std::string>(), m_version};
        m_history.push_back({m_version, name, m_rows[name].value, false});
    }
    for (const auto &it : json.value("remove", Json::array())) {
        const auto name = nameOf(it);
        if (m_rows.erase(name) > 0) {
            m_history.push_back({m_version, name, {}, true});
        }
    }
    return {200, Json{{"ver", m_version}, {"rows", Json::array()}, {"nowMs", nowMs()}}.dump()};
}

Response Store::scan(const std::string &target) const
{
    const auto table = queryValue(target, "table");
    const auto part = queryValue(target, "part");
    const auto last = queryValue(target, "target");
    Json rows = Json::array();
    bool isTruncated = false;
    for (auto it = m_rows.lower_bound({table, part, queryValue(target, "from")}); it != m_rows.end(); ++it) {
        const auto &[rowTable, rowPart, key] = it->first;
        if (rowTable != table || rowPart != part || (!last.empty() && key >= last)) {
            break;
        }
        if (rows.size() == MaxRows) {
            isTruncated = true;
            break;
        }
        rows.push_back({{"table", rowTable},
                        {"part", rowPart},
                        {"key", key},
                        {"value", it->second.value},
                        {"ver", it->second.version}});
    }
    return {200, Json{{"rows", rows}, {"truncated", isTruncated}, {"ver", m_version}, {"nowMs", nowMs()}}.dump()};
}

asio::awaitable<Response> Store::follow(std::string target)
{
    const auto table = queryValue(target, "table");
    const auto after = std::stoull(queryValue(target, "after"));
    const auto until = Clock::now() + milliseconds(std::stoi(queryValue(target, "waitMs")));
    while (true) {
        Json rows = Json::array();
        auto it = std::ranges::upper_bound(m_history, after, {}, &Change::version);
        std::uint64_t version = m_version;
        for (; it != m_history.end(); ++it) {
            const auto &[rowTable, part, key] = it->name;
            if (rowTable != table) {
                continue;
            }
            if (rows.size() >= MaxRows && it->version != version) {
                break; // the rows of one transaction stay together
            }
            version = it->version;
            Json row{{"table", rowTable}, {"part", part}, {"key", key}, {"ver", it->version}};
            if (it->isRemoved) {
                row["removed"] = true;
            } else {
                row["value"] = it->value;
            }
            rows.push_back(std::move(row));
        }
        const bool isTruncated = it != m_history.end();
        if (!rows.empty() || Clock::now() >= until) {
            const auto newest = isTruncated ? version : m_version;
            co_return Response{
                200, Json{{"rows", rows}, {"truncated", isTruncated}, {"ver", newest}, {"nowMs", nowMs()}}.dump()};
        }
        co_await pause(FeedCheckInterval);
    }
}

} // namespace review
