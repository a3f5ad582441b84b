#include "soak/storestandin.h"

#include "codec/json.h"
#include "codec/platformjson.h"
#include "daemon/asioscheduler.h"
#include "ports/memory/memorychangestore.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace monsoonspool::soak {

namespace {

using codec::Json;

constexpr Duration TransactionTime = 3ms;
constexpr std::size_t MaxPageRows = 500;
constexpr long long MaxFeedWaitMs = 30'000;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int PreconditionFailed = 412;

// A call for changes that waits for one.
struct WaitingFeed
{
    std::string table;
    std::uint64_t after = 0;
    TimePoint until;
    http::ApiReply reply;
};

http::ApiResponse makeResponse(int status, const Json &json)
{
    return {status, "application/json", codec::writeJson(json), {}};
}

std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

ports::RowName decodeName(const Json &json)
{
    return {json.at("table").get<std::string>(), json.value("part", std::string()), json.at("key").get<std::string>()};
}

Json encodeRow(const ports::StoredRow &row)
{
    Json json = {{"table", row.name.table}, {"part", row.name.part}, {"key", row.name.key}, {"ver", row.version}};
    if (row.isRemoved) {
        json["removed"] = true;
    } else {
        json["value"] = codec::toBase64(row.value);
    }
    return json;
}

Result<ports::Commit> decodeCommit(std::string_view body)
{
    BOOST_LEAF_AUTO(json, codec::parseLargeJson(body));
    ports::Commit commit;
    try {
        for (const auto &it : json.value("expectedRev", Json::array())) {
            commit.conditions.push_back({decodeName(it), it.at("ver").get<std::uint64_t>()});
        }
        for (const auto &it : json.value("setKeys", Json::array())) {
            BOOST_LEAF_AUTO(value, codec::fromBase64(it.at("value").get_ref<const std::string &>()));
            commit.writes.push_back({decodeName(it), std::move(value)});
        }
        for (const auto &it : json.value("remove", Json::array())) {
            commit.removals.push_back(decodeName(it));
        }
    } catch (const Json::exception &e) {
        return fail(ErrorKind::MalformedMessage, codec::describe(e));
    }
    return commit;
}

bool isReserved(const ports::RowName &name)
{
    return name.table == "op" || name.table == "servers";
}

} // namespace

struct StoreStandIn::Private
{
    Private(boost::asio::io_context &io, Duration delay) : scheduler(io), delay(delay)
    {
    }

    http::ApiResponse transact(std::string_view body);
    http::ApiResponse scan(const http::ApiRequest &request) const;
    http::ApiResponse listParts(const http::ApiRequest &request) const;
    void follow(const http::ApiRequest &request, http::ApiReply reply, TimePoint now);
    std::optional<http::ApiResponse> changes(const WaitingFeed &feed, TimePoint now) const;
    Json page(Json rows, bool isTruncated) const;

    daemon::AsioScheduler scheduler;
    Duration delay;
    ports::memory::SharedRows rows;
    std::vector<WaitingFeed> feeds;
    bool isSilent = false;
    std::vector<http::ApiReply> unanswered; // kept, since a connection closes with its reply
};

StoreStandIn::StoreStandIn(boost::asio::io_context &io, Duration delay) : d(std::make_unique<Private>(io, delay))
{
}

StoreStandIn::~StoreStandIn() = default;

void StoreStandIn::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    if (d->isSilent) {
        d->unanswered.push_back(std::move(reply));
    } else if (request.path == "/rows-tx") {
        d->scheduler.runAfter(TransactionTime + d->delay, [this, body = request.body, reply = std::move(reply)] {
            reply(d->transact(body));
            advance(monotonicNow());
        });
    } else if (request.path == "/rows-get") {
        d->scheduler.runAfter(d->delay, [this, request, reply = std::move(reply)] { reply(d->scan(request)); });
    } else if (request.path == "/rows-parts") {
        d->scheduler.runAfter(d->delay, [this, request, reply = std::move(reply)] { reply(d->listParts(request)); });
    } else if (request.path == "/rows-feed") {
        d->follow(request, std::move(reply), monotonicNow());
    } else {
        reply(makeResponse(NotFound, Json::object()));
    }
}

void StoreStandIn::write(std::string_view table, std::string_view key, std::string_view value)
{
    const ports::RowName name{std::string(table), {}, std::string(key)};
    if (const auto it = d->rows.rows.find(name); it != d->rows.rows.end() && it->second.value == value) {
        return;
    }
    d->rows.apply({{}, {{name, std::string(value)}}, {}});
    advance(monotonicNow());
}

void StoreStandIn::silence()
{
    d->isSilent = true;
}

void StoreStandIn::advance(TimePoint now)
{
    if (d->isSilent) {
        return;
    }
    std::vector<std::pair<http::ApiReply, http::ApiResponse>> answered;
    std::erase_if(d->feeds, [&](WaitingFeed &it) {
        auto response = d->changes(it, now);
        if (response) {
            answered.emplace_back(std::move(it.reply), std::move(*response));
        }
        return response.has_value();
    });
    for (auto &[reply, response] : answered) {
        reply(std::move(response));
    }
}

http::ApiResponse StoreStandIn::Private::transact(std::string_view body)
{
    return handleFailure(
        [&]() -> Result<http::ApiResponse> {
            BOOST_LEAF_AUTO(commit, decodeCommit(body));
            const auto entries = commit.conditions.size() + commit.writes.size() + commit.removals.size();
            if (entries > ports::MaxCommitEntries) {
                return makeResponse(BadRequest, Json::object());
            }
            if (std::ranges::any_of(commit.writes, [](const auto &it) { return isReserved(it.name); })
                || std::ranges::any_of(commit.removals, isReserved)) {
                return makeResponse(Forbidden, Json::object());
            }
            const auto result = rows.apply(commit);
            auto current = Json::array();
            for (const auto &it : result.current) {
                current.push_back(encodeRow(it));
            }
            return makeResponse(result.isApplied ? Ok : PreconditionFailed, page(std::move(current), false));
        },
        [](const Failure &failure) {
            return makeResponse(BadRequest, {{"detail", failure.detail}});
        });
}

http::ApiResponse StoreStandIn::Private::scan(const http::ApiRequest &request) const
{
    const ports::RowName first{std::string(request.queryValue("table")), std::string(request.queryValue("part")),
                               std::string(request.queryValue("from"))};
    const auto last = request.queryValue("target");
    auto found = Json::array();
    for (auto it = rows.rows.lower_bound(first); it != rows.rows.end(); ++it) {
        const auto &name = it->first;
        if (name.table != first.table || name.part != first.part || (!last.empty() && name.key >= last)) {
            break;
        }
        if (found.size() == MaxPageRows) {
            return makeResponse(Ok, page(std::move(found), true));
        }
        found.push_back(encodeRow(it->second));
    }
    return makeResponse(Ok, page(std::move(found), false));
}

http::ApiResponse StoreStandIn::Private::listParts(const http::ApiRequest &request) const
{
    std::set<std::string> parts;
    for (const auto &[name, row] : rows.rows) {
        if (name.table == request.queryValue("table") && name.part > request.queryValue("after")) {
            parts.insert(name.part);
        }
    }
    return makeResponse(Ok, {{"parts", parts}, {"truncated", false}});
}

void StoreStandIn::Private::follow(const http::ApiRequest &request, http::ApiReply reply, TimePoint now)
{
    const auto wait
        = std::min<long long>(static_cast<long long>(toNumber(request.queryValue("waitMs"))), MaxFeedWaitMs);
    WaitingFeed feed{std::string(request.queryValue("table")), toNumber(request.queryValue("after")),
                     now + std::chrono::milliseconds(wait), std::move(reply)};
    if (auto response = changes(feed, now)) {
        feed.reply(std::move(*response));
    } else {
        feeds.push_back(std::move(feed));
    }
}

// Returns the response to `feed`, or nullopt if it must wait longer.
std::optional<http::ApiResponse> StoreStandIn::Private::changes(const WaitingFeed &feed, TimePoint now) const
{
    auto changed = Json::array();
    for (auto it = std::ranges::upper_bound(rows.history, feed.after, {}, &ports::StoredRow::version);
         it != rows.history.end(); ++it) {
        if (it->name.table == feed.table) {
            changed.push_back(encodeRow(*it));
        }
    }
    if (changed.empty() && now < feed.until) {
        return std::nullopt;
    }
    return makeResponse(Ok, page(std::move(changed), false));
}

Json StoreStandIn::Private::page(Json found, bool isTruncated) const
{
    return {{"rows", std::move(found)},
            {"truncated", isTruncated},
            {"ver", rows.version},
            {"nowMs", toMilliseconds(monotonicNow().time_since_epoch())}};
}

} // namespace monsoonspool::soak
