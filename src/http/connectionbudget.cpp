#include "http/connectionbudget.h"

namespace monsoonspool::http {

ConnectionBudget::ConnectionBudget(BudgetLimits limits) : m_limits(limits)
{
}

ConnectionNumber ConnectionBudget::add(TimePoint now)
{
    m_entries[++m_lastNumber].since = now;
    return m_lastNumber;
}

void ConnectionBudget::remove(ConnectionNumber number)
{
    if (const auto it = m_entries.find(number); it != m_entries.end()) {
        m_bufferedBytes -= it->second.bytes;
        m_entries.erase(it);
    }
}

void ConnectionBudget::setState(ConnectionNumber number, ConnectionState state, TimePoint now)
{
    if (const auto it = m_entries.find(number); it != m_entries.end() && it->second.state != state) {
        it->second.state = state;
        it->second.since = now;
    }
}

void ConnectionBudget::setBytes(ConnectionNumber number, std::size_t bytes)
{
    if (const auto it = m_entries.find(number); it != m_entries.end()) {
        m_bufferedBytes += bytes - it->second.bytes;
        it->second.bytes = bytes;
    }
}

std::optional<BudgetExcess> ConnectionBudget::takeExcess()
{
    const bool isCrowded = m_entries.size() > m_limits.connections;
    if (!isCrowded && m_bufferedBytes <= m_limits.bufferedBytes) {
        return std::nullopt;
    }
    auto it = isCrowded ? chooseForConnections() : chooseForBytes();
    if (it == m_entries.end() && isCrowded) {
        it = newest();
    }
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    const BudgetExcess excess{it->first, isCrowded ? ConnectionLimit::Connections : ConnectionLimit::BufferedBytes};
    remove(it->first);
    return excess;
}

ConnectionBudget::Entries::const_iterator ConnectionBudget::longestInState(ConnectionState state) const
{
    auto best = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (it->second.state == state && (best == m_entries.end() || it->second.since < best->second.since)) {
            best = it;
        }
    }
    return best;
}

ConnectionBudget::Entries::const_iterator ConnectionBudget::largest(std::size_t aboveBytes) const
{
    auto best = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const bool isCandidate = it->second.state != ConnectionState::Handling && it->second.bytes > aboveBytes;
        if (isCandidate && (best == m_entries.end() || it->second.bytes > best->second.bytes)) {
            best = it;
        }
    }
    return best;
}

ConnectionBudget::Entries::const_iterator ConnectionBudget::newest() const
{
    auto best = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (best == m_entries.end() || it->first > best->first) {
            best = it;
        }
    }
    return best;
}

ConnectionBudget::Entries::const_iterator ConnectionBudget::chooseForConnections() const
{
    for (const auto state : {ConnectionState::Idle, ConnectionState::Reading, ConnectionState::Writing}) {
        // The newest connection is not closed for being idle, since it has had no time to send.
        if (const auto it = longestInState(state); it != m_entries.end() && it->first != m_lastNumber) {
            return it;
        }
    }
    return m_entries.end();
}

ConnectionBudget::Entries::const_iterator ConnectionBudget::chooseForBytes() const
{
    if (const auto it = largest(LargeBytes); it != m_entries.end()) {
        return it;
    }
    const auto it = longestInState(ConnectionState::Idle);
    return it != m_entries.end() ? it : largest(0);
}

} // namespace monsoonspool::http
