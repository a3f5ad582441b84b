#pragma once

#include "http.h"

#include <string>

namespace standin {

struct RunnerOptions
{
    int port = 0;
    int storePort = 0;
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind;
    std::string record; // file to which each start and end is appended
};

// Each runs one stand-in in this process and does not return.
void runStore(int port);
void runRunner(const RunnerOptions &options);

// Appends a line with the time of day in milliseconds.
void appendLine(const std::string &file, const std::string &line);
std::string toBase64(const std::string &bytes);

} // namespace standin
