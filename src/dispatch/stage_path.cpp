#include <medlar/detail/dispatch/stage_path.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

millis end_of(const std::vector<stage_rule>& stages,
              std::size_t stage,
              const stage_time_after& time,
              std::vector<std::optional<millis>>& ends)
{
    if (!ends[stage])
    {
        millis start{0};
        for (const std::size_t each : stages[stage].after)
        {
            start = std::max(start, end_of(stages, each, time, ends));
        }
        ends[stage] = start + time(stage, start);
    }
    return *ends[stage];
}

} // namespace

bool depends_on(const stage_rule& stage, std::size_t other)
{
    return std::find(stage.after.begin(), stage.after.end(), other) != stage.after.end();
}

millis longest_path_after(const std::vector<stage_rule>& stages,
                          std::size_t stage,
                          const stage_time& time)
{
    millis longest{0};
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        if (depends_on(stages[i], stage))
        {
            longest = std::max(longest, time(i) + longest_path_after(stages, i, time));
        }
    }
    return longest;
}

millis time_of_all(const std::vector<stage_rule>& stages, const stage_time_after& time)
{
    std::vector<std::optional<millis>> ends(stages.size());
    millis longest{0};
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        longest = std::max(longest, end_of(stages, i, time, ends));
    }
    return longest;
}

} // namespace medlar
