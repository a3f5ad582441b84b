#include "http/connectionmetrics.h"

#include <sstream>

namespace monsoonspool::http {

namespace {

std::uint64_t reachedCount(const ConnectionUsage &usage, ConnectionLimit limit)
{
    return usage.reached[static_cast<std::size_t>(limit)];
}

} // namespace

std::string encodeConnectionMetrics(std::span<const ConnectionUsage> usages)
{
    std::ostringstream text;
    text << "# HELP monsoonspool_connections open connections\n# TYPE monsoonspool_connections gauge\n";
    for (const auto &it : usages) {
        text << "monsoonspool_connections{side=\"" << it.side << "\"} " << it.connections << '\n';
    }
    text << "# HELP monsoonspool_connection_bytes held by connections\n"
            "# TYPE monsoonspool_connection_bytes gauge\n";
    for (const auto &it : usages) {
        text << "monsoonspool_connection_bytes{side=\"" << it.side << "\"} " << it.bufferedBytes << '\n';
    }
    text << "# HELP monsoonspool_connection_limits_total connections closed for a limit\n"
            "# TYPE monsoonspool_connection_limits_total counter\n";
    for (const auto &it : usages) {
        for (const auto limit : AllConnectionLimits) {
            text << "monsoonspool_connection_limits_total{side=\"" << it.side << "\",limit=\"" << limitName(limit)
                 << "\"} " << reachedCount(it, limit) << '\n';
        }
    }
    return text.str();
}

codec::Json connectionState(std::span<const ConnectionUsage> usages)
{
    codec::Json json = codec::Json::object();
    for (const auto &it : usages) {
        codec::Json reached = codec::Json::object();
        for (const auto limit : AllConnectionLimits) {
            reached[std::string(limitName(limit))] = reachedCount(it, limit);
        }
        json[it.side]
            = {{"open", it.connections}, {"bufferedBytes", it.bufferedBytes}, {"limitsReached", std::move(reached)}};
    }
    return json;
}

} // namespace monsoonspool::http
