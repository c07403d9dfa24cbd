#include <medlar/detail/dispatch/stage_path.hpp>

#include <algorithm>

namespace medlar
{

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

} // namespace medlar
