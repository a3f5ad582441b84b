#include "record.h"

#include <iomanip>
#include <iostream>

namespace review {

Record::Record(const std::string &path) : m_file(path)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_startedAt).count();
}

void Record::line(const std::string &text)
{
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << "  " << text << std::endl;
}

void Record::broken(const std::string &text)
{
    ++m_broken;
    line("BROKEN: " + text);
    if (m_broken <= 5) {
        std::cout << "BROKEN: " << text << "\n";
    }
}

} // namespace review
