#pragma once

#include <filesystem>
#include <string>
#include <unistd.h>

namespace monsoonspool::soak {

// A folder for settings and logs, which is removed with its contents.
class TemporaryFolder
{
public:
    explicit TemporaryFolder(const std::string &name)
        : m_path(std::filesystem::temp_directory_path() / ("monsoonspool-" + name + "-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace monsoonspool::soak
