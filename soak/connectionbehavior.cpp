#include "soak/connectionbehavior.h"

#include <array>
#include <random>
#include <string>
#include <utility>

namespace monsoonspool::soak {

namespace {

using Random = std::mt19937_64;
using std::chrono::milliseconds;

constexpr std::array<std::pair<ConnectionKind, std::string_view>, 7> Names{{
    {ConnectionKind::Keep, "keep"},
    {ConnectionKind::EndEach, "end-each"},
    {ConnectionKind::EndAfter, "end-after"},
    {ConnectionKind::EndIdle, "end-idle"},
    {ConnectionKind::Reset, "reset"},
    {ConnectionKind::IgnoreOrders, "ignore-orders"},
    {ConnectionKind::Mix, "mix"},
}};
constexpr int MinAnswers = 2;
constexpr int MaxAnswers = 20;
constexpr int MinIdleMs = 50;
constexpr int MaxIdleMs = 500;
constexpr std::uint64_t KindStream = 1;
constexpr std::uint64_t BehaviorStream = 2;
constexpr double ResetProbability = 0.05;
// Every third worker, so that the others have room for all tasks.
constexpr int IgnoringInterval = 3;
// In a mix, whose other workers misbehave as well.
constexpr int MixedIgnoringInterval = 6;

class KeepConnections : public ConnectionBehavior
{
public:
    RequestFate fate(std::string_view, int) override
    {
        return RequestFate::Answer;
    }
};

class EndAfterAnswers : public ConnectionBehavior
{
public:
    explicit EndAfterAnswers(int answers) : m_answers(answers)
    {
    }
    RequestFate fate(std::string_view, int n) override
    {
        return n >= m_answers ? RequestFate::AnswerThenClose : RequestFate::Answer;
    }

private:
    int m_answers;
};

class EndIdleConnections : public KeepConnections
{
public:
    explicit EndIdleConnections(milliseconds limit) : m_limit(limit)
    {
    }
    std::optional<milliseconds> idleLimit() const override
    {
        return m_limit;
    }

private:
    milliseconds m_limit;
};

class ResetConnections : public ConnectionBehavior
{
public:
    explicit ResetConnections(std::uint64_t seed) : m_random(seed)
    {
    }
    RequestFate fate(std::string_view, int) override
    {
        if (!std::bernoulli_distribution(ResetProbability)(m_random)) {
            return RequestFate::Answer;
        }
        return std::bernoulli_distribution(0.5)(m_random) ? RequestFate::ResetExecuted : RequestFate::ResetUnexecuted;
    }

private:
    Random m_random;
};

class IgnoreOrders : public ConnectionBehavior
{
public:
    RequestFate fate(std::string_view path, int) override
    {
        return path == "/hold" ? RequestFate::Answer : RequestFate::Ignore;
    }
    bool takesOrders() const override
    {
        return false;
    }
};

ConnectionKind mixedKind(Random &random, int n)
{
    constexpr std::array kinds{ConnectionKind::Keep, ConnectionKind::EndEach, ConnectionKind::EndAfter,
                               ConnectionKind::EndIdle, ConnectionKind::Reset};
    if (n % MixedIgnoringInterval == 0 && std::bernoulli_distribution(0.5)(random)) {
        return ConnectionKind::IgnoreOrders;
    }
    return kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(random)];
}

} // namespace

Result<ConnectionKind> parseConnectionKind(std::string_view text)
{
    for (const auto &[kind, name] : Names) {
        if (name == text) {
            return kind;
        }
    }
    return fail(ErrorKind::InvalidArguments, "there is no kind of connections '" + std::string(text) + "'");
}

std::string_view connectionKindName(ConnectionKind kind)
{
    return Names[static_cast<std::size_t>(kind)].second;
}

ConnectionKind workerConnectionKind(ConnectionKind kind, std::uint64_t seed, int n)
{
    if (kind == ConnectionKind::Mix) {
        std::seed_seq sequence{seed, static_cast<std::uint64_t>(n), KindStream};
        Random random(sequence);
        return mixedKind(random, n);
    }
    return kind == ConnectionKind::IgnoreOrders && n % IgnoringInterval != 0 ? ConnectionKind::Keep : kind;
}

std::unique_ptr<ConnectionBehavior> makeConnectionBehavior(ConnectionKind kind, std::uint64_t seed, int n)
{
    std::seed_seq sequence{seed, static_cast<std::uint64_t>(n), BehaviorStream};
    Random random(sequence);
    switch (workerConnectionKind(kind, seed, n)) {
    case ConnectionKind::EndEach:
        return std::make_unique<EndAfterAnswers>(1);
    case ConnectionKind::EndAfter:
        return std::make_unique<EndAfterAnswers>(std::uniform_int_distribution<int>(MinAnswers, MaxAnswers)(random));
    case ConnectionKind::EndIdle:
        return std::make_unique<EndIdleConnections>(
            milliseconds(std::uniform_int_distribution<int>(MinIdleMs, MaxIdleMs)(random)));
    case ConnectionKind::Reset:
        return std::make_unique<ResetConnections>(random());
    case ConnectionKind::IgnoreOrders:
        return std::make_unique<IgnoreOrders>();
    case ConnectionKind::Keep:
    case ConnectionKind::Mix:
        break;
    }
    return std::make_unique<KeepConnections>();
}

} // namespace monsoonspool::soak
