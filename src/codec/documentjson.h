#pragma once

#include "codec/json.h"
#include "control/rowcodec.h"
#include "documents/servicedocument.h"

#include <string>
#include <string_view>
#include <vector>

namespace monsoonspool::codec {

// Parses, validates and decodes the text of a service's document. Reports all schema
// faults; if there are none, reports all violations of the document's rules.
control::DecodedDocument decodeDocument(std::string_view text);

// Returns `document` as JSON with every key; absent keys get their defaults.
Json documentToJson(const documents::ServiceDocument &document);

// A value that differs between two documents.
struct DocumentDifference
{
    std::string path;
    std::string before; // empty if the key was absent
    std::string after; // empty if the key was removed
};

// Returns the keys whose values differ after defaults are applied. An empty text has
// no keys. Fails with InvalidDocument if a text is not a valid document.
Result<std::vector<DocumentDifference>> diffDocuments(std::string_view before, std::string_view after);

// Returns the JSON schema of documents, for the documentation and for editors.
const Json &documentSchema();

} // namespace monsoonspool::codec
