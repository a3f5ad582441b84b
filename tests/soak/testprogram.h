#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace monsoonspool::soak {

// Returns the path of the program that the tests start: that of the environment variable MONSOONSPOOL_TEST_PROGRAM, for
// a build with sanitizers, or else the one beside the tests.
inline std::string testProgram()
{
    if (const char *path = std::getenv("MONSOONSPOOL_TEST_PROGRAM")) {
        return path;
    }
    return (std::filesystem::canonical("/proc/self/exe").parent_path() / "monsoonspool-execution").string();
}

} // namespace monsoonspool::soak
