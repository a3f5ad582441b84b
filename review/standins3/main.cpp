#include "cases.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string>

namespace review {

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: review-case NAME RECORD\n");
        return 2;
    }
    const std::string name = argv[1];
    int result = 2;
    try {
        review::Record record(argv[2]);
        record.note("case", name + (review::hasTrouble() ? " with" : " without") + " the disruption");
        if (name == "history") {
            result = review::runHistoryCase(record);
        } else if (name == "repeats") {
            result = review::runRepeatsCase(record);
        }
        record.note("result", std::to_string(result));
    } catch (const std::exception &e) {
        std::fprintf(stderr, "review-case: %s\n", e.what());
    }
    return result;
}
