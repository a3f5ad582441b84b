#pragma once

#include "codec/json.h"
#include "ports/tableservice.h"
#include "ports/workeragent.h"

#include <string>
#include <string_view>
#include <vector>

// Encodings of the platform's HTTP/JSON protocol, which docs/PLATFORM.md specifies.
namespace monsoonspool::codec {

// Encode and decode base64. Decoding fails with MalformedMessage.
std::string toBase64(std::string_view bytes);
Result<std::string> fromBase64(std::string_view text);

Json rowToJson(const ports::Row &row);
Result<ports::Row> rowFromJson(const Json &json);
Json writesToJson(std::span<const ports::RowWrite> writes);
Result<std::vector<ports::RowWrite>> writesFromJson(const Json &json);

Json startOrderToJson(const ports::StartOrder &order);
Result<ports::StartOrder> startOrderFromJson(const Json &json);
Json reportToJson(const ports::WorkerReport &report);
Result<ports::WorkerReport> reportFromJson(const Json &json);
Json attemptToJson(const ports::AttemptId &attempt);
ports::AttemptId attemptFromJson(const Json &json); // throws Json::exception

// Returns the protocol's name of `state`. reportFromJson() reads unknown names as Failed.
std::string_view attemptStateName(ports::AttemptState state);

} // namespace monsoonspool::codec
