#pragma once

#include "execution/fleet.h"
#include "execution/rowcodec.h"
#include "ports/changestore.h"
#include "ports/scheduler.h"

#include <memory>

namespace monsoonspool::execution {

// Hands what one leader learned of interference to the next, who would else place work
// for some ten seconds as if nothing disturbed anybody. Nothing else rests on the row:
// it is written without a condition, and a lost write is made good by the next.
//
// Lives on the control thread.
class LearnedKeeper
{
public:
    // Reads the row at once.
    LearnedKeeper(ports::ChangeStore &store, ports::Scheduler &scheduler, const RowCodec &codec, Fleet &fleet,
                  DecisionLog &log);
    ~LearnedKeeper();
    LearnedKeeper(const LearnedKeeper &) = delete;
    LearnedKeeper &operator=(const LearnedKeeper &) = delete;

    // Writes the row if that is due.
    void poke(TimePoint now);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace monsoonspool::execution
