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

/// @brief Returns the index of the first stage that is on a dependency cycle or depends
/// on one, or nullopt if the stages can be ordered topologically.
/// @param stages each with a member `after`: the names of the stages it depends on
/// @param name_of maps an index to the stage's name, in the type used by `after`
template <typename Stage, typename NameOf>
std::optional<std::size_t> find_stage_cycle(const std::vector<Stage>& stages,
                                            const NameOf& name_of)
{
    std::set<std::decay_t<decltype(name_of(std::size_t{0}))>> ordered;
    const auto has_ordered_dependencies = [&ordered](const Stage& current)
    {
        return std::all_of(current.after.begin(),
                           current.after.end(),
                           [&ordered](const auto& name)
                           {
                               return ordered.count(name) != 0;
                           });
    };
    for (std::size_t pass = 0; pass < stages.size(); ++pass)
    {
        for (std::size_t index = 0; index < stages.size(); ++index)
        {
            if (has_ordered_dependencies(stages[index]))
            {
                ordered.insert(name_of(index));
            }
        }
    }
    for (std::size_t index = 0; index < stages.size(); ++index)
    {
        if (ordered.count(name_of(index)) == 0)
        {
            return index;
        }
    }
    return std::nullopt;
}

/// @brief Returns the time at which a stage ends, if each stage starts as soon as its
/// dependencies have ended. The stages may be listed in any order.
/// @param time_of maps an index and the time at which the stage starts to its duration
/// @param ends memoised end times, by stage
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
        for (const std::size_t dependency : stages[stage].after)
        {
            start =
                std::max(start, end_of_stage(stages, dependency, first, time_of, ends));
        }
        ends[stage] = start + time_of(stage, start);
    }
    return *ends[stage];
}

/// @brief Returns the time at which the last stage ends, counted from the start of the
/// first ones.
/// @param stages each with a member `after`: the indexes of the stages it depends on;
/// must be free of cycles
/// @param first index of the first stage that is not finished
/// @param time_of maps an index and the time at which the stage starts to its duration
template <typename Time, typename Stage, typename TimeOf>
Time end_of_all_stages(const std::vector<Stage>& stages,
                       std::size_t first,
                       const TimeOf& time_of)
{
    std::vector<std::optional<Time>> ends(stages.size());
    Time last(0);
    for (std::size_t i = first; i < stages.size(); ++i)
    {
        last = std::max(last, end_of_stage(stages, i, first, time_of, ends));
    }
    return last;
}

/// @brief Returns the duration of the longest path through the stage graph.
/// @param stages,first as for end_of_all_stages()
/// @param time_of maps an index to the stage's duration
template <typename Stage, typename TimeOf>
auto longest_path(const std::vector<Stage>& stages,
                  std::size_t first,
                  const TimeOf& time_of)
{
    using time = std::decay_t<decltype(time_of(std::size_t{0}))>;
    return end_of_all_stages<time>(stages,
                                   first,
                                   [&time_of](std::size_t stage, time /*start*/)
                                   {
                                       return time_of(stage);
                                   });
}

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_STAGE_GRAPH_HPP
