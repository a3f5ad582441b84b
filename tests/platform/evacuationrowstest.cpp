#include "platformregistry.h"
#include "settings.h"
#include "wirecodec.h"

#include "codec/json.h"
#include "codec/platformjson.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

// The rows with which operators evacuate failure domains, as the store returns them.
namespace monsoonspool::platform {

namespace {

// Returns the domain that a row evacuates, "-" for a row of another kind, "!" if it cannot be read.
std::string domainOf(const ports::RowName &name)
{
    return handleFailure(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(domain, PlatformRegistry().decodeEvacuation(name));
            return domain ? domain->text() : std::string("-");
        },
        [](const Failure &failure) {
            EXPECT_EQ(failure.kind, ErrorKind::InvalidDocument);
            return std::string("!");
        });
}

} // namespace

// Guards against an evacuation that is overlooked, or read as one of another domain.
TEST(EvacuationRows, TheKeyNamesTheDomain)
{
    struct Case
    {
        std::string part;
        std::string key;
        std::string domain;
    };
    for (const auto &it : std::vector<Case>{{"", "evacuate/r1-a", "r1-a"},
                                            {"", "evacuate/r1/a", "r1/a"},
                                            {"", "evacuate/ a", " a"},
                                            {"", "evacuate/{}", "{}"},
                                            {"", "evacuate/evacuate/a", "evacuate/a"},
                                            {"", "evacuate/\xc3\xa9", "\xc3\xa9"},
                                            {"", "evacuate/" + std::string(200, 'z'), std::string(200, 'z')},
                                            {"", "evacuate/" + std::string(201, 'z'), "!"},
                                            {"", "evacuate/", "!"},
                                            {"", "evacuate/a\n", "!"},
                                            {"", std::string("evacuate/a\0b", 12), "!"},
                                            {"", "evacuate", "-"},
                                            {"", "Evacuate/a", "-"},
                                            {"", "evacuated/a", "-"},
                                            {"", "config", "-"},
                                            {"", "", "-"},
                                            {"p", "evacuate/a", "-"},
                                            {"p", "evacuate/", "-"}}) {
        EXPECT_EQ(domainOf({"op", it.part, it.key}), it.domain) << it.part << " " << it.key;
    }
}

// The row counts while it is stored: a value that cannot be read must hide neither it nor the others.
TEST(EvacuationRows, TheValueDoesNotMatter)
{
    for (const auto *value : {"\"e30=\"", "\"\"", "\"not base64\"", "\"bnVsbA==\"", "null", "7"}) {
        SCOPED_TRACE(value);
        const auto page = handleFailure(
            [&] {
                return decodeRowPage(R"({"ver":9,"rows":[{"table":"op","part":"","key":"evacuate/a","ver":8,"value":)"
                                     + std::string(value) + R"(},{"table":"op","part":"","key":"config","ver":3,)"
                                     + R"("value":"e30="},{"table":"op","part":"","key":"evacuate/b","ver":9,)"
                                     + R"("removed":true}]})");
            },
            [](const Failure &failure) {
                ADD_FAILURE() << failure.detail;
                return ports::RowPage();
            });
        ASSERT_EQ(page.rows.size(), 3U);
        EXPECT_EQ(domainOf(page.rows[0].name), "a");
        EXPECT_FALSE(page.rows[0].isRemoved);
        EXPECT_EQ(page.rows[1].value, "{}");
        EXPECT_EQ(domainOf(page.rows[2].name), "b");
        EXPECT_TRUE(page.rows[2].isRemoved);
    }
}

// Files of deployments that state no bound must stay valid.
TEST(EvacuationRows, TheBoundIsAnOptionalSetting)
{
    const auto decode = [](const std::string &extra) {
        return decodeSettings(R"({"name":"h","region":"r","failureDomain":"d","clientAddress":"127.0.0.1:1",
            "readyAddress":"127.0.0.1:2","controlAddress":"127.0.0.1:3","storeAddress":"127.0.0.1:4",
            "processorShare":0.1,"logLinesPerSecond":100,"stopGraceSeconds":6)"
                              + extra + "}");
    };
    EXPECT_TRUE(decode("").errors.empty());
    EXPECT_EQ(decode("").settings.evacuationBound, membership::DefaultEvacuationBound);
    EXPECT_TRUE(decode(R"(,"evacuationBoundMs":8000)").errors.empty());
    EXPECT_EQ(decode(R"(,"evacuationBoundMs":8000)").settings.evacuationBound, std::chrono::milliseconds(8000));
    for (const auto *it : {"999", "600001", "-1", "null", "\"5000\"", "[]"}) {
        const auto decoded = decode(R"(,"evacuationBoundMs":)" + std::string(it));
        ASSERT_EQ(decoded.errors.size(), 1U) << it;
        EXPECT_EQ(decoded.errors.front().key, "evacuationBoundMs");
    }
}

} // namespace monsoonspool::platform
