#pragma once

#include "codec/json.h"
#include "documents/servicedocument.h"

#include <memory>
#include <string_view>
#include <vector>

namespace monsoonspool::codec {

// A JSON schema that validates untrusted input. Each property of the schema has a
// description of the valid values, which serves both as the message of a fault and as
// documentation.
class Schema
{
public:
    // Parses `text`, a schema compiled into the program. Throws if it is not valid JSON.
    explicit Schema(std::string_view text);
    ~Schema();
    Schema(const Schema &) = delete;
    Schema &operator=(const Schema &) = delete;

    // Returns one fault for each path of `json` that violates the schema.
    std::vector<documents::DocumentFault> check(const Json &json) const;

    const Json &json() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::codec
