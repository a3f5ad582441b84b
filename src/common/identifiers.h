#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// Strongly typed names. Identifiers of different types neither compare nor convert.
namespace monsoonspool {

template <typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string_view text) : m_text(text)
    {
    }

    std::string_view view() const
    {
        return m_text;
    }
    const std::string &text() const
    {
        return m_text;
    }
    bool isEmpty() const
    {
        return m_text.empty();
    }

    friend bool operator==(const Identifier &a, const Identifier &b)
    {
        return a.m_text == b.m_text;
    }
    friend std::strong_ordering operator<=>(const Identifier &a, const Identifier &b)
    {
        return a.m_text <=> b.m_text;
    }

private:
    std::string m_text;
};

using ServiceName = Identifier<struct ServiceTag>;
using TeamName = Identifier<struct TeamTag>;
using PoolName = Identifier<struct PoolTag>; // the set of targets that serve a service
using TargetId = Identifier<struct TargetTag>;
using WorkerId = Identifier<struct WorkerTag>;
using EntryHostId = Identifier<struct EntryHostTag>;
using RegionName = Identifier<struct RegionTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using JobId = Identifier<struct JobTag>;
using PartitionName = Identifier<struct PartitionTag>; // a unit of ownership

// Fencing token of a partition. Each owner has a higher epoch than its predecessors;
// receivers reject orders whose epoch is lower than the highest one that they have seen.
struct Epoch
{
    std::uint64_t value = 0;
    auto operator<=>(const Epoch &) const = default;
};

} // namespace monsoonspool

template <typename Tag>
struct std::hash<monsoonspool::Identifier<Tag>>
{
    std::size_t operator()(const monsoonspool::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string_view>{}(id.view());
    }
};
