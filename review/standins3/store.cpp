#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t MaxPageRows = 500;
constexpr std::size_t MaxPageBytes = 1'000'000;
constexpr auto AnswerTime = 4ms;

RowName nameOf(const Json &json)
{
    return {json.at("table").get<std::string>(), json.value("part", std::string()), json.at("key").get<std::string>()};
}

Json encode(const RowName &name, const Row *row, std::uint64_t version)
{
    Json json = {{"table", name.table}, {"part", name.part}, {"key", name.key}, {"ver", version}};
    if (row == nullptr) {
        json["removed"] = true;
    } else {
        json["value"] = row->value;
    }
    return json;
}

std::uint64_t toNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += n + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

Store::Store(Address address, int writesPerSecond, int readsPerSecond, int historySeconds)
    : m_writesPerSecond(writesPerSecond), m_readsPerSecond(readsPerSecond), m_historyTime(historySeconds),
      m_server(std::move(address), [this](const Request &it) { return handle(it); })
{
}

void Store::put(const RowName &name, const std::string &bytes)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    write(name, toBase64(bytes), false);
    m_changed.notify_all();
}

void Store::remove(const RowName &name)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    write(name, {}, true);
    m_changed.notify_all();
}

std::map<RowName, Row> Store::rowsOf(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    std::map<RowName, Row> rows;
    for (const auto &[name, row] : m_rows) {
        if (name.key.starts_with(prefix)) {
            rows[name] = row;
        }
    }
    return rows;
}

void Store::putEncoded(const std::map<RowName, std::string> &rows)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    for (const auto &[name, value] : rows) {
        write(name, value, false);
    }
    m_changed.notify_all();
}

std::size_t Store::rowCount()
{
    const std::lock_guard lock(m_mutex);
    return m_rows.size();
}

void Store::write(const RowName &name, const std::string &value, bool isRemoved)
{
    if (isRemoved) {
        m_rows.erase(name);
    } else {
        m_rows[name] = {value, m_version};
    }
    m_history.push_back({name, m_version, isRemoved, Clock::now()});
    trimHistory();
}

void Store::trimHistory()
{
    while (!m_history.empty() && Clock::now() - m_history.front().at > m_historyTime) {
        m_trimmedVersion = m_history.front().version;
        m_history.pop_front();
    }
}

bool Store::takeCall(bool isWrite)
{
    const std::lock_guard lock(m_mutex);
    if (Clock::now() - m_second >= 1s) {
        m_second = Clock::now();
        m_reads = 0;
        m_writes = 0;
    }
    auto &count = isWrite ? m_writes : m_reads;
    return ++count <= (isWrite ? m_writesPerSecond : m_readsPerSecond);
}

Response Store::handle(const Request &request)
{
    const bool isWrite = request.path == "/rows-tx";
    std::this_thread::sleep_for(AnswerTime);
    if (!takeCall(isWrite)) {
        return {429, "{}"};
    }
    if (isWrite) {
        return transact(request);
    }
    if (request.path == "/rows-get") {
        return get(request);
    }
    if (request.path == "/rows-parts") {
        return parts(request);
    }
    return request.path == "/rows-feed" ? feed(request) : Response{404, "{}"};
}

Response Store::transact(const Request &request)
{
    const auto json = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    Json current = Json::array();
    bool isMet = true;
    for (const auto &it : json.at("expectedRev")) {
        const auto name = nameOf(it);
        const auto row = m_rows.find(name);
        const auto version = row == m_rows.end() ? 0 : row->second.version;
        isMet = isMet && version == it.at("ver").get<std::uint64_t>();
        if (row != m_rows.end()) {
            current.push_back(encode(name, &row->second, version));
        }
    }
    const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
    if (!isMet) {
        return {412, Json{{"ver", m_version}, {"nowMs", nowMs}, {"rows", current}}.dump()};
    }
    for (const auto *list : {"setKeys", "remove"}) {
        for (const auto &it : json.at(list)) {
            const auto table = it.at("table").get<std::string>();
            if (table == "op" || table == "servers") {
                return {403, "{}"};
            }
        }
    }
    ++m_version;
    for (const auto &it : json.at("setKeys")) {
        write(nameOf(it), it.at("value").get<std::string>(), false);
    }
    for (const auto &it : json.at("remove")) {
        write(nameOf(it), {}, true);
    }
    m_changed.notify_all();
    return {200, Json{{"ver", m_version}, {"nowMs", nowMs}, {"rows", Json::array()}}.dump()};
}

Response Store::get(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto table = request.queryValue("table");
    const auto part = request.queryValue("part");
    const auto last = request.queryValue("target");
    auto limit = MaxPageRows;
    if (const auto text = request.queryValue("limit"); !text.empty()) {
        limit = std::min<std::size_t>(limit, toNumber(text));
    }
    Json rows = Json::array();
    std::size_t bytes = 0;
    bool isTruncated = false;
    for (auto it = m_rows.lower_bound({table, part, request.queryValue("from")}); it != m_rows.end(); ++it) {
        const auto &[name, row] = *it;
        if (name.table != table || name.part != part || (!last.empty() && name.key >= last)) {
            break;
        }
        if (rows.size() == limit || bytes + row.value.size() > MaxPageBytes) {
            isTruncated = true;
            break;
        }
        bytes += row.value.size();
        rows.push_back(encode(name, &row, row.version));
    }
    return {200, Json{{"ver", m_version}, {"rows", rows}, {"truncated", isTruncated}}.dump()};
}

Response Store::parts(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    Json names = Json::array();
    std::string former;
    for (const auto &[name, row] : m_rows) {
        if (name.table == request.queryValue("table") && (names.empty() || name.part != former)) {
            former = name.part;
            names.push_back(name.part);
        }
    }
    return {200, Json{{"ver", m_version}, {"parts", names}}.dump()};
}

Response Store::feed(const Request &request)
{
    const auto table = request.queryValue("table");
    const auto after = toNumber(request.queryValue("after"));
    const auto until = Clock::now() + std::chrono::milliseconds(toNumber(request.queryValue("waitMs")));
    std::unique_lock lock(m_mutex);
    for (;;) {
        trimHistory();
        if (after < m_trimmedVersion) {
            return {410, "{}"};
        }
        std::map<RowName, std::uint64_t> changed;
        const auto first = std::ranges::upper_bound(m_history, after, {}, &Change::version);
        auto version = m_version;
        for (auto it = first; it != m_history.end(); ++it) {
            if (it->name.table != table) {
                continue;
            }
            if (changed.size() >= MaxPageRows && it->version != version) {
                break;
            }
            changed[it->name] = it->version;
            version = changed.size() >= MaxPageRows ? it->version : m_version;
        }
        if (!changed.empty() || Clock::now() >= until) {
            std::vector<std::pair<std::uint64_t, RowName>> ordered;
            for (const auto &[name, at] : changed) {
                ordered.emplace_back(at, name);
            }
            std::ranges::sort(ordered);
            Json rows = Json::array();
            for (const auto &[at, name] : ordered) {
                const auto row = m_rows.find(name);
                rows.push_back(encode(name, row == m_rows.end() ? nullptr : &row->second, at));
            }
            return {200, Json{{"ver", version}, {"rows", rows}, {"truncated", version != m_version}}.dump()};
        }
        m_changed.wait_until(lock, until);
    }
}

} // namespace review
