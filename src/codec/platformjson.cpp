#include "codec/platformjson.h"

#include "codec/typejson.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace monsoonspool::codec {

namespace {

using ports::AttemptState;

constexpr std::array<std::pair<AttemptState, std::string_view>, 6> StateNames{{
    {AttemptState::Running, "running"},
    {AttemptState::Succeeded, "succeeded"},
    {AttemptState::Failed, "failed"},
    {AttemptState::Stopped, "stopped"},
    {AttemptState::Checkpointed, "checkpointed"},
    {AttemptState::LeaseLapsed, "lease-lapsed"},
}};

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupLetters = 4;

AttemptState stateFrom(std::string_view name)
{
    const auto it = std::ranges::find(StateNames, name, [](const auto &entry) { return entry.second; });
    return it == StateNames.end() ? AttemptState::Failed : it->first;
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    namespace it = boost::archive::iterators;
    using Encoder = it::base64_from_binary<it::transform_width<std::string_view::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((GroupBytes - bytes.size() % GroupBytes) % GroupBytes, '=');
    return text;
}

Result<std::string> fromBase64(std::string_view text)
{
    namespace it = boost::archive::iterators;
    using Decoder = it::transform_width<it::binary_from_base64<std::string_view::const_iterator>, 8, 6>;
    if (text.size() % GroupLetters != 0) {
        return fail(ErrorKind::MalformedMessage, "the text is not valid base64");
    }
    while (text.ends_with('=')) {
        text.remove_suffix(1);
    }
    try {
        std::string bytes;
        const std::size_t n = text.size() * GroupBytes / GroupLetters;
        Decoder decoder(text.begin());
        for (std::size_t i = 0; i < n; ++i) {
            bytes += static_cast<char>(*decoder++);
        }
        return bytes;
    } catch (const std::exception &) {
        return fail(ErrorKind::MalformedMessage, "the text is not valid base64");
    }
}

Json rowToJson(const ports::Row &row)
{
    return {{"key", row.key}, {"value", toBase64(row.value)}, {"version", row.version}};
}

Result<ports::Row> rowFromJson(const Json &json)
{
    BOOST_LEAF_AUTO(text, decode([&] { return json.at("value").get<std::string>(); }));
    BOOST_LEAF_AUTO(value, fromBase64(text));
    return decode([&] {
        return ports::Row{json.at("key").get<std::string>(), value, json.at("version").get<std::uint64_t>()};
    });
}

Json writesToJson(std::span<const ports::RowWrite> writes)
{
    Json rows = Json::array();
    for (const auto &it : writes) {
        rows.push_back({{"key", it.key},
                        {"expected", it.expectedVersion},
                        {"value", toBase64(it.value)},
                        {"remove", it.isRemoval}});
    }
    return rows;
}

Result<std::vector<ports::RowWrite>> writesFromJson(const Json &json)
{
    std::vector<ports::RowWrite> writes;
    for (const auto &it : json) {
        BOOST_LEAF_AUTO(text, decode([&] { return it.at("value").get<std::string>(); }));
        BOOST_LEAF_AUTO(value, fromBase64(text));
        BOOST_LEAF_AUTO(write, decode([&] {
                            return ports::RowWrite{it.at("key").get<std::string>(),
                                                   it.at("expected").get<std::uint64_t>(), value,
                                                   it.at("remove").get<bool>()};
                        }));
        writes.push_back(std::move(write));
    }
    return writes;
}

Json attemptToJson(const ports::AttemptId &attempt)
{
    return {{"job", attempt.job}, {"attempt", attempt.attempt}};
}

ports::AttemptId attemptFromJson(const Json &json)
{
    return {json.at("job").get<JobId>(), json.at("attempt").get<std::uint32_t>()};
}

Json startOrderToJson(const ports::StartOrder &order)
{
    return {{"epoch", order.epoch},
            {"workerIncarnation", order.workerIncarnation},
            {"attempt", attemptToJson(order.attempt)},
            {"resources", order.resources},
            {"command", order.command},
            {"checkpoint", order.checkpoint},
            {"leaseMs", toMilliseconds(order.lease)}};
}

Result<ports::StartOrder> startOrderFromJson(const Json &json)
{
    return decode([&] {
        return ports::StartOrder{json.at("epoch").get<Epoch>(),
                                 json.at("workerIncarnation").get<std::uint64_t>(),
                                 attemptFromJson(json.at("attempt")),
                                 json.at("resources").get<Resources>(),
                                 json.at("command").get<std::string>(),
                                 json.at("checkpoint").get<std::string>(),
                                 Duration(std::chrono::milliseconds(json.at("leaseMs").get<std::int64_t>()))};
    });
}

std::string_view attemptStateName(ports::AttemptState state)
{
    return StateNames[static_cast<std::size_t>(state)].second;
}

Json reportToJson(const ports::WorkerReport &report)
{
    Json attempts = Json::array();
    for (const auto &it : report.attempts) {
        attempts.push_back({{"attempt", attemptToJson(it.attempt)},
                            {"state", attemptStateName(it.state)},
                            {"usage", it.usage},
                            {"result", it.result},
                            {"checkpoint", it.checkpoint},
                            {"slowdown", it.slowdown}});
    }
    return {{"worker", report.worker},
            {"incarnation", report.incarnation},
            {"highestEpoch", report.highestEpoch},
            {"attempts", std::move(attempts)}};
}

Result<ports::WorkerReport> reportFromJson(const Json &json)
{
    return decode([&] {
        ports::WorkerReport report;
        json.at("worker").get_to(report.worker);
        json.at("incarnation").get_to(report.incarnation);
        json.at("highestEpoch").get_to(report.highestEpoch);
        for (const auto &it : json.at("attempts")) {
            report.attempts.push_back({attemptFromJson(it.at("attempt")), stateFrom(it.at("state").get<std::string>()),
                                       it.at("usage").get<Resources>(), it.at("result").get<std::string>(),
                                       it.at("checkpoint").get<std::string>(), it.value("slowdown", 0.0)});
        }
        return report;
    });
}

} // namespace monsoonspool::codec
