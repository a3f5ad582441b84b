#include "traffic/pendingreplies.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace monsoonspool::traffic {

// Guards against a reply that keeps its connection open once it was answered.
TEST(PendingReplies, AnAnsweredReplyHoldsNothing)
{
    PendingReplies<int> replies;
    const auto connection = std::make_shared<int>();
    int answered = 0;
    const auto number = replies.add([connection, &answered](int result) { answered = result; });
    EXPECT_EQ(connection.use_count(), 2);
    replies.answer(number, 7);
    EXPECT_EQ(answered, 7);
    EXPECT_EQ(connection.use_count(), 1);
    EXPECT_EQ(replies.count(), 0U);
}

// Guards against a second answer: the control thread answers at the deadline, and the store may answer later.
TEST(PendingReplies, AReplyIsAnsweredOnce)
{
    PendingReplies<int> replies;
    std::vector<int> answers;
    const auto number = replies.add([&](int result) { answers.push_back(result); });
    replies.answer(number, 1);
    replies.answer(number, 2);
    replies.answerAll(3);
    EXPECT_EQ(answers, std::vector{1});
}

// Guards against connections that are cut without an answer when the host stops.
TEST(PendingReplies, AllRepliesAreAnsweredTogether)
{
    PendingReplies<int> replies;
    int sum = 0;
    for (int n = 0; n < 3; ++n) {
        replies.add([&](int result) { sum += result; });
    }
    replies.answerAll(5);
    EXPECT_EQ(sum, 15);
    EXPECT_EQ(replies.count(), 0U);
}

// Guards against a reply that changes the replies while it is called: it may take the next request of its
// connection.
TEST(PendingReplies, AReplyMayAddAnother)
{
    PendingReplies<int> replies;
    const auto first = replies.add([&](int) { replies.add([](int) {}); });
    replies.answer(first, 1);
    EXPECT_EQ(replies.count(), 1U);
}

// Guards against replies that outlive the io_context of their connections.
TEST(PendingReplies, UnansweredRepliesEndWithTheirOwner)
{
    const auto connection = std::make_shared<int>();
    {
        PendingReplies<int> replies;
        replies.add([connection](int) {});
    }
    EXPECT_EQ(connection.use_count(), 1);
}

} // namespace monsoonspool::traffic
