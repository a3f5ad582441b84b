#include "logging/log.h"
#include "logging/linesink.h"
#include "logging/logratelimiter.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>

namespace monsoonspool::logging {

namespace {

constexpr TimePoint Now{1h};

std::string drain(int descriptor)
{
    std::string text;
    std::array<char, 4096> buf{};
    while (true) {
        const auto n = ::read(descriptor, buf.data(), buf.size());
        if (n <= 0) {
            return text;
        }
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

// While the pipe is full, the sink drops whole lines without blocking, and it reports
// the drops as soon as the pipe has room.
TEST(LineSink, DropsWholeLinesWithoutBlocking)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    LineSink sink(ends[1]);
    LineSink reader(ends[0]); // makes the reading end non-blocking
    const std::string line = std::string(999, 'x') + "\n";
    for (int n = 0; n < 500; ++n) {
        sink.write(line);
    }
    EXPECT_GT(sink.droppedLines(), 300U);
    auto text = drain(ends[0]);
    sink.write("last\n");
    text += drain(ends[0]);
    EXPECT_TRUE(text.ends_with("last\n"));
    EXPECT_NE(text.find("lines-dropped"), std::string::npos);
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = text.find('\n', begin);
        const auto found = text.substr(begin, end - begin + 1);
        EXPECT_TRUE(found == line || found == "last\n" || found.starts_with("{\"event\":\"lines-dropped\"")) << found;
        begin = end + 1;
    }
    close(ends[0]);
    close(ends[1]);
}

TEST(LogRateLimiter, LimitsEachEventAndCountsSuppressedLines)
{
    LogRateLimiter limiter;
    int written = 0;
    for (int n = 0; n < 10'000; ++n) {
        written += limiter.tryAcquire("start", Now + n * Duration(1ms)) ? 1 : 0;
    }
    EXPECT_LT(written, 1500);
    EXPECT_GT(written, 1000);
    EXPECT_TRUE(limiter.tryAcquire("stop", Now)) << "each event has its own limit";
    const auto suppressed = limiter.takeSuppressed(Now + 10s);
    ASSERT_EQ(suppressed.size(), 1U);
    EXPECT_EQ(suppressed.at("start"), 10'000U - static_cast<unsigned>(written));
    EXPECT_TRUE(limiter.takeSuppressed(Now + 10500ms).empty());
}

namespace {

struct CountedText
{
    int *formatted = nullptr;
};

std::string decisionText(const CountedText &text)
{
    ++*text.formatted;
    return "text";
}

} // namespace

// Under load most lines are left out, and formatting them took a tenth of a leader's time.
TEST(Log, FormatsNoFieldOfALineThatIsLeftOut)
{
    int formatted = 0;
    const CountedText text{&formatted};
    EXPECT_EQ(formatEvent(Format::Json, "x", {{"field", text}}), R"("event":"x","field":"text")");
    EXPECT_EQ(formatted, 1);
    setDecisionLogRate(0);
    logDecision("left-out", {{"field", text}});
    setDecisionLogRate(LogRateLimiter::DefaultLinesPerSecond);
    EXPECT_EQ(formatted, 1);
}

TEST(Log, EscapesJsonValues)
{
    EXPECT_EQ(formatEvent(Format::Json, "start", {{"task", "a"}, {"run", 3}}),
              R"("event":"start","task":"a","run":"3")");
    EXPECT_EQ(formatEvent(Format::Json, "x", {{"detail", "say \"no\"\n"}}), R"("event":"x","detail":"say \"no\"\n")");
}

} // namespace monsoonspool::logging
