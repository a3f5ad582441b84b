#include "logging/linesink.h"

#include <fcntl.h>
#include <unistd.h>

namespace monsoonspool::logging {

LineSink::LineSink(int descriptor) : m_descriptor(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

// Writes pending bytes. Returns whether all of them were written.
bool LineSink::flush()
{
    while (!m_pending.empty()) {
        const auto n = ::write(m_descriptor, m_pending.data(), m_pending.size());
        if (n <= 0) {
            return false;
        }
        m_pending.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

void LineSink::write(std::string_view line)
{
    if (!flush()) {
        ++m_dropped;
        ++m_unreported;
        return;
    }
    if (m_unreported > 0) {
        m_pending = "{\"event\":\"lines-dropped\",\"count\":\"" + std::to_string(m_unreported) + "\"}\n";
        m_unreported = 0;
    }
    m_pending += line;
    flush();
}

} // namespace monsoonspool::logging
