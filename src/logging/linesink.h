#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonspool::logging {

// Writes lines to a pipe or file and never waits for its reader: while the reader
// does not keep up, whole lines are left out and counted, and the next line that
// gets through is preceded by one that tells how many.
//
// Not thread-safe.
class LineSink
{
public:
    // Makes `descriptor` non-blocking; it stays open for the life of the sink.
    explicit LineSink(int descriptor);

    // Takes `line`, which ends with a line feed, or leaves it out.
    void write(std::string_view line);

    // Returns how many lines were left out so far.
    std::uint64_t droppedLines() const
    {
        return m_dropped;
    }

private:
    bool flush();

    int m_descriptor;
    std::string m_pending; // of a line that was written in part
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0;
};

} // namespace monsoonspool::logging
