// A stand-in of the platform's store: rows, transactions, and a feed of changes.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace review {

struct RowName
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const RowName &) const = default;
};

struct Row
{
    std::string value; // in base64, as on the wire
    std::uint64_t version = 0;
};

class Store
{
public:
    Store(Address address, int writesPerSecond, int readsPerSecond, int historySeconds);

    // Writes a row as the operator or a runner does.
    void put(const RowName &name, const std::string &bytes);
    void remove(const RowName &name);

    // Returns the rows whose key begins with `prefix`, in all tables.
    std::map<RowName, Row> rowsOf(const std::string &prefix);
    // Stores rows in one transaction, with values in base64.
    void putEncoded(const std::map<RowName, std::string> &rows);
    std::size_t rowCount();

private:
    using Clock = std::chrono::steady_clock;

    struct Change
    {
        RowName name;
        std::uint64_t version = 0;
        bool isRemoved = false;
        Clock::time_point at;
    };

    Response handle(const Request &request);
    Response transact(const Request &request);
    Response get(const Request &request);
    Response parts(const Request &request);
    Response feed(const Request &request);
    bool takeCall(bool isWrite);
    void write(const RowName &name, const std::string &value, bool isRemoved);
    void trimHistory();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowName, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_trimmedVersion = 0; // changes up to it are no longer kept
    std::deque<Change> m_history;
    Clock::time_point m_startedAt = Clock::now();
    Clock::time_point m_second = Clock::now();
    int m_reads = 0; // in the current second
    int m_writes = 0;
    int m_writesPerSecond;
    int m_readsPerSecond;
    std::chrono::seconds m_historyTime;
    HttpServer m_server; // last, so that it ends first
};

std::string toBase64(std::string_view bytes);

} // namespace review
