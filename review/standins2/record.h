#pragma once

#include "http.h"

#include <fstream>
#include <string>

namespace review {

// The lines of record.txt, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);
    // Notes a broken rule.
    void broken(const std::string &text);
    int brokenCount() const
    {
        return m_broken;
    }
    double seconds() const;

private:
    std::ofstream m_file;
    Clock::time_point m_startedAt = Clock::now();
    int m_broken = 0;
};

} // namespace review
