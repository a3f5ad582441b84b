#include "cases.h"
#include "standin.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (arguments.size() == 2 && arguments[0] == "store") {
            standin::runStore(std::stoi(arguments[1]));
        } else if (arguments.size() == 9 && arguments[0] == "runner") {
            standin::runRunner({std::stoi(arguments[1]), std::stoi(arguments[2]), arguments[3], arguments[4],
                                arguments[5], arguments[6], arguments[7], arguments[8]});
        } else if (arguments.size() == 3 && arguments[0] == "case") {
            return standin::runCase(arguments[1], arguments[2]);
        }
    } catch (const std::exception &e) {
        std::cerr << e.what() << "\n";
    }
    return 2;
}
