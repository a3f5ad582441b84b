#include "records/requestrecord.h"

namespace monsoonspool::records {

RecordDisposition evaluateRecord(const RequestRecord &record, std::string_view fingerprint)
{
    if (record.fingerprint != fingerprint) {
        return RecordDisposition::Mismatch;
    }
    switch (record.state) {
    case RecordState::Answered:
        return RecordDisposition::Replay;
    case RecordState::NotRun:
        return RecordDisposition::Proceed;
    case RecordState::Intended:
        break;
    }
    return RecordDisposition::Join;
}

} // namespace monsoonspool::records
