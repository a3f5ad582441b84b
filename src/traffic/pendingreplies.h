#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

namespace monsoonspool::traffic {

// The replies to requests whose results come from another thread, which is given their numbers only. A reply
// holds the connection of its client, and so must end before the io_context of that connection; what the other
// thread still keeps by then must not delay that.
//
// Not thread-safe: owned by the thread of the connections.
template <typename T>
class PendingReplies
{
public:
    using Reply = std::function<void(const T &)>;
    using Number = std::uint64_t;

    // Keeps `reply` until it is answered, and returns its number.
    Number add(Reply reply)
    {
        m_replies.emplace(++m_last, std::move(reply));
        return m_last;
    }

    // Passes `result` to a reply and forgets it. Has no effect if it was answered before.
    void answer(Number number, const T &result)
    {
        const auto node = m_replies.extract(number);
        if (!node.empty()) {
            node.mapped()(result);
        }
    }

    // Passes `result` to all replies and forgets them.
    void answerAll(const T &result)
    {
        for (const auto &[number, reply] : std::exchange(m_replies, {})) {
            reply(result);
        }
    }

    std::size_t count() const
    {
        return m_replies.size();
    }

private:
    std::unordered_map<Number, Reply> m_replies;
    Number m_last = 0;
};

} // namespace monsoonspool::traffic
