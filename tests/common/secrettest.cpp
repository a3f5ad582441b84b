#include "common/secret.h"

#include <gtest/gtest.h>

namespace monsoonspool {

TEST(Secret, EqualsOnlyIfAllBytesMatch)
{
    struct Case
    {
        std::string_view a;
        std::string_view b;
        bool isEqual;
    };
    for (const auto &it :
         {Case{"", "", true}, Case{"key", "key", true}, Case{"key", "kez", false}, Case{"key", "ke", false},
          Case{"\xff\x01", "\xff\x01", true}, Case{"\xff\x01", "\x7f\x01", false}}) {
        EXPECT_EQ(constantTimeEquals(it.a, it.b), it.isEqual) << it.a;
    }
}

} // namespace monsoonspool
