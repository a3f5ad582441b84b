// A stand-in of the platform's metadata store (PROTOCOL.md): tables with conditional
// transactions and change feeds. Runners and the operator write through /stand-in/ calls.
#include "standin.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <tuple>

namespace standin {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Name = std::tuple<std::string, std::string, std::string>; // table, part, key

constexpr std::size_t MaxRows = 500;
constexpr std::size_t RowBytes = 65536; // of a value, before base64
constexpr std::size_t MaxEntries = 100; // of a call
constexpr std::size_t MaxCallBytes = 1024 * 1024;
constexpr auto TxTime = std::chrono::milliseconds(3);
constexpr auto EntryTimeout = std::chrono::milliseconds(4500); // three heartbeats
constexpr auto History = std::chrono::seconds(20);

struct Row
{
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
    Clock::time_point writtenAt;
};

class Store
{
public:
    Response handle(const Request &request)
    {
        if (request.path == "/rows-tx") {
            return request.body.size() > MaxCallBytes ? Response{400, "{}"} : transact(Json::parse(request.body));
        }
        if (request.path == "/rows-get") {
            return get(request);
        }
        if (request.path == "/rows-feed") {
            return feed(request);
        }
        if (request.path == "/rows-parts") {
            return parts(request);
        }
        if (request.path == "/stand-in/write") {
            return write(Json::parse(request.body));
        }
        return {404, "{}"};
    }

    // Removes the entries of silent runners and old records of removals.
    void sweep()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const std::scoped_lock lock(m_mutex);
            const auto now = Clock::now();
            for (auto it = m_beats.begin(); it != m_beats.end();) {
                if (now - it->second > EntryTimeout) {
                    put({"servers", "", it->first}, {}, true, ++m_version);
                    it = m_beats.erase(it);
                } else {
                    ++it;
                }
            }
            for (auto it = m_rows.begin(); it != m_rows.end();) {
                if (it->second.isRemoved && now - it->second.writtenAt > History) {
                    m_droppedUpTo = std::max(m_droppedUpTo, it->second.version);
                    it = m_rows.erase(it);
                } else {
                    ++it;
                }
            }
            m_changed.notify_all();
        }
    }

private:
    void put(const Name &name, const std::string &value, bool isRemoved, std::uint64_t version)
    {
        m_rows[name] = {value, version, isRemoved, Clock::now()};
    }

    static Name nameOf(const Json &json)
    {
        return {json.at("table"), json.value("part", ""), json.at("key")};
    }

    static Json toJson(const Name &name, const Row &row)
    {
        Json json = {{"table", std::get<0>(name)},
                     {"part", std::get<1>(name)},
                     {"key", std::get<2>(name)},
                     {"ver", row.version}};
        if (row.isRemoved) {
            json["removed"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }

    Json answer(Json rows) const
    {
        return {{"rows", std::move(rows)}, {"truncated", false}, {"ver", m_version}, {"nowMs", nowMs()}};
    }

    static std::int64_t nowMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
    }

    std::uint64_t versionOf(const Name &name) const
    {
        const auto it = m_rows.find(name);
        return it == m_rows.end() || it->second.isRemoved ? 0 : it->second.version;
    }

    Response transact(const Json &json)
    {
        std::this_thread::sleep_for(TxTime);
        const std::scoped_lock lock(m_mutex);
        std::size_t entries = json.value("expectedRev", Json::array()).size();
        for (const auto *list : {"setKeys", "remove"}) {
            for (const auto &it : json.value(list, Json::array())) {
                ++entries;
                if (it.value("value", "").size() / 4 * 3 > RowBytes + 2) {
                    return {400, "{}"};
                }
                if (it.at("table") == "op" || it.at("table") == "servers") {
                    return {403, "{}"};
                }
            }
        }
        if (entries > MaxEntries) {
            return {400, "{}"};
        }
        Json current = Json::array();
        bool holds = true;
        for (const auto &it : json.value("expectedRev", Json::array())) {
            const auto name = nameOf(it);
            holds = holds && versionOf(name) == it.at("ver").get<std::uint64_t>();
            if (versionOf(name) != 0) {
                current.push_back(toJson(name, m_rows.at(name)));
            }
        }
        if (!holds) {
            return {412, answer(std::move(current)).dump()};
        }
        ++m_version;
        for (const auto &it : json.value("setKeys", Json::array())) {
            put(nameOf(it), it.at("value"), false, m_version);
        }
        for (const auto &it : json.value("remove", Json::array())) {
            if (versionOf(nameOf(it)) != 0) {
                put(nameOf(it), {}, true, m_version);
            }
        }
        m_changed.notify_all();
        return {200, Json{{"ver", m_version}, {"nowMs", nowMs()}}.dump()};
    }

    Response get(const Request &request)
    {
        const auto value = [&](const char *name) {
            const auto it = request.query.find(name);
            return it == request.query.end() ? std::string() : it->second;
        };
        const std::scoped_lock lock(m_mutex);
        Json rows = Json::array();
        bool isTruncated = false;
        const auto table = value("table");
        const auto part = value("part");
        for (auto it = m_rows.lower_bound({table, part, value("from")}); it != m_rows.end(); ++it) {
            const auto &[rowTable, rowPart, key] = it->first;
            if (rowTable != table || rowPart != part || (!value("target").empty() && key >= value("target"))) {
                break;
            }
            if (it->second.isRemoved) {
                continue;
            }
            if (rows.size() == MaxRows) {
                isTruncated = true;
                break;
            }
            rows.push_back(toJson(it->first, it->second));
        }
        auto json = answer(std::move(rows));
        json["truncated"] = isTruncated;
        return {200, json.dump()};
    }

    Response parts(const Request &request)
    {
        const std::scoped_lock lock(m_mutex);
        Json parts = Json::array();
        for (const auto &[name, row] : m_rows) {
            const auto &part = std::get<1>(name);
            if (std::get<0>(name) == request.query.at("table") && !row.isRemoved
                && (parts.empty() || parts.back() != part)) {
                parts.push_back(part);
            }
        }
        return {200, Json{{"parts", parts}, {"truncated", false}}.dump()};
    }

    Response feed(const Request &request)
    {
        const auto table = request.query.at("table");
        const std::uint64_t after = std::stoull(request.query.at("after"));
        const auto wait
            = std::chrono::milliseconds(request.query.contains("waitMs") ? std::stoi(request.query.at("waitMs")) : 0);
        std::unique_lock lock(m_mutex);
        if (after < m_droppedUpTo) {
            return {410, "{}"};
        }
        std::map<std::uint64_t, std::vector<Name>> changes;
        const auto hasChanges = [&] {
            for (const auto &[name, row] : m_rows) {
                if (std::get<0>(name) == table && row.version > after) {
                    changes[row.version].push_back(name);
                }
            }
            return !changes.empty();
        };
        m_changed.wait_for(lock, wait, hasChanges);
        Json rows = Json::array();
        for (const auto &[version, names] : changes) {
            for (const auto &it : names) {
                rows.push_back(toJson(it, m_rows.at(it)));
            }
        }
        return {200, answer(std::move(rows)).dump()};
    }

    // A heartbeat renews an entry, which changes only with its text.
    Response write(const Json &json)
    {
        const std::scoped_lock lock(m_mutex);
        const auto name = nameOf(json);
        const std::string value = json.value("value", "");
        const bool isRemoved = json.value("removed", false);
        if (std::get<0>(name) == "servers" && json.value("isBeat", false)) {
            m_beats[std::get<2>(name)] = Clock::now();
        }
        const auto it = m_rows.find(name);
        const bool isSame = it != m_rows.end() && it->second.isRemoved == isRemoved && it->second.value == value;
        if (!isSame) {
            put(name, value, isRemoved, ++m_version);
            m_changed.notify_all();
        }
        return {200, "{}"};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::map<std::string, Clock::time_point> m_beats;
    std::uint64_t m_version = 100;
    std::uint64_t m_droppedUpTo = 0;
};

} // namespace

void runStore(int port)
{
    Store store;
    std::thread([&] { store.sweep(); }).detach();
    serve(port, [&](const Request &request) { return store.handle(request); });
}

} // namespace standin
