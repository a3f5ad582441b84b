// The record of a case: what was sent, answered and run, with the seconds since the beginning.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record
{
public:
    explicit Record(const std::string &path) : m_file(path)
    {
    }

    double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_beganAt).count();
    }
    void note(const std::string &event, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[16];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << event << ' ' << text << '\n';
        m_file.flush();
    }

private:
    std::chrono::steady_clock::time_point m_beganAt = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
