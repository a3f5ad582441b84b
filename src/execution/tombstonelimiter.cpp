#include "execution/tombstonelimiter.h"

namespace monsoonspool::execution {

void TombstoneLimiter::recordStored(std::size_t count)
{
    m_stored = count;
}

bool TombstoneLimiter::take(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    m_available = std::min<double>(m_available + elapsed * TombstonesPerSecond, TombstoneBurst);
    m_updatedAt = now;
    if (m_stored >= MaxTombstones) {
        ++m_counts.refusedByTotal;
        return false;
    }
    if (m_available < 1) {
        ++m_counts.refusedByRate;
        return false;
    }
    m_available -= 1;
    return true;
}

void TombstoneLimiter::giveBack()
{
    m_available = std::min<double>(m_available + 1, TombstoneBurst);
}

void TombstoneLimiter::noteWritten()
{
    ++m_counts.written;
}

} // namespace monsoonspool::execution
