#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonspool::logging {

// Non-blocking line writer for a pipe or file. While the reader is too slow, drops and
// counts whole lines. Writes a line with their number before the next line.
//
// Not thread-safe.
class LineSink
{
public:
    // Makes `descriptor` non-blocking. It must stay open for the lifetime of the sink.
    explicit LineSink(int descriptor);

    // Writes `line`, which must end with a line feed, or drops it.
    void write(std::string_view line);

    // Returns the total number of dropped lines.
    std::uint64_t droppedLines() const
    {
        return m_dropped;
    }

private:
    bool flush();

    int m_descriptor;
    std::string m_pending; // rest of a partially written line
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreported = 0; // dropped since the last lines-dropped line
};

} // namespace monsoonspool::logging
