#ifndef MEDLAR_DETAIL_BASE_STAGE_GRAPH_HPP
#define MEDLAR_DETAIL_BASE_STAGE_GRAPH_HPP

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <type_traits>
#include <vector>

namespace medlar
{

/// @brief The first stage that waits for itself, directly or through others.
/// @param stages each with a member `after`, the names of the stages before it
/// @param name_of the name of the stage at an index, as `after` has it
/// @return its index, unset if all stages can be put in an order
template <typename Stage, typename NameOf>
std::optional<std::size_t> find_stage_cycle(const std::vector<Stage>& stages,
                                            const NameOf& name_of)
{
    std::set<std::decay_t<decltype(name_of(std::size_t{0}))>> placed;
    const auto can_follow = [&placed](const Stage& one)
    {
        return std::all_of(one.after.begin(),
                           one.after.end(),
                           [&placed](const auto& name)
                           {
                               return placed.count(name) != 0;
                           });
    };
    for (std::size_t round = 0; round < stages.size(); ++round)
    {
        for (std::size_t at = 0; at < stages.size(); ++at)
        {
            if (can_follow(stages[at]))
            {
                placed.insert(name_of(at));
            }
        }
    }
    for (std::size_t at = 0; at < stages.size(); ++at)
    {
        if (placed.count(name_of(at)) == 0)
        {
            return at;
        }
    }
    return std::nullopt;
}

/// @brief The time until one stage ends, whatever the order of the stages.
/// @param ends times found so far
template <typename Stage, typename TimeOf, typename Time>
Time end_of_stage(const std::vector<Stage>& stages,
                  std::size_t stage,
                  std::size_t first,
                  const TimeOf& time_of,
                  std::vector<std::optional<Time>>& ends)
{
    if (stage < first)
    {
        return Time(0);
    }
    if (!ends[stage])
    {
        Time start(0);
        for (const std::size_t each : stages[stage].after)
        {
            start = std::max(start, end_of_stage(stages, each, first, time_of, ends));
        }
        ends[stage] = start + time_of(stage);
    }
    return *ends[stage];
}

/// @brief The longest time of stages that follow one after the other.
/// @param stages each with a member `after`, the indexes of the stages before it; none
///     waits for itself
/// @param first stages before it are done
/// @param time_of the time of the stage at an index
template <typename Stage, typename TimeOf>
auto longest_path(const std::vector<Stage>& stages,
                  std::size_t first,
                  const TimeOf& time_of)
{
    using time = std::decay_t<decltype(time_of(std::size_t{0}))>;
    std::vector<std::optional<time>> ends(stages.size());
    time longest(0);
    for (std::size_t i = first; i < stages.size(); ++i)
    {
        longest = std::max(longest, end_of_stage(stages, i, first, time_of, ends));
    }
    return longest;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_STAGE_GRAPH_HPP
