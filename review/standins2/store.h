#pragma once

#include "http.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace review {

// The platform's store: tables of rows with conditional transactions and change feeds. Linearizable, as
// one thread carries out all calls.
class Store
{
public:
    explicit Store(asio::io_context &io);

    void start();
    unsigned short port() const
    {
        return m_port;
    }
    // Writes or removes a row as the operator or a runner does. `value` is not encoded yet.
    void write(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    using Name = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct Row
    {
        std::string value; // in base64
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::uint64_t version = 0;
        Name name;
        std::string value;
        bool isRemoved = false;
    };

    asio::awaitable<Response> handle(const Request &request);
    Response transact(const std::string &body);
    Response scan(const std::string &target) const;
    asio::awaitable<Response> follow(std::string target);

    unsigned short m_port;
    Server m_server;
    std::map<Name, Row> m_rows;
    std::vector<Change> m_history;
    std::uint64_t m_version = 0;
};

} // namespace review
