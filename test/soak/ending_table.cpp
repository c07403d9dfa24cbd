#include "soak/ending_table.hpp"

#include <algorithm>

namespace medlar::soak
{

void add(ending_table& sum, const ending_table& run)
{
    for (const auto& [name, counts] : run)
    {
        ending_counts& to = sum[name];
        to.streams += counts.streams;
        to.whole += counts.whole;
        to.visibly_broken += counts.visibly_broken;
        to.not_begun += counts.not_begun;
        to.early_as_whole += counts.early_as_whole;
        to.missing += counts.missing;
        to.repeated += counts.repeated;
        to.foreign += counts.foreign;
        to.joined += counts.joined;
        to.taken_up += counts.taken_up;
        to.went_on += counts.went_on;
        to.sound_broken += counts.sound_broken;
        to.latest_end = std::max(to.latest_end, counts.latest_end);
    }
}

void print(const ending_table& table, std::ostream& to)
{
    if (!table.empty())
    {
        to << "class: streams whole broken not_begun early_as_whole missing repeated "
              "foreign joined sound_broken late_ms taken_up went_on\n";
    }
    for (const auto& [name, counts] : table)
    {
        to << name << ": " << counts.streams << ' ' << counts.whole << ' '
           << counts.visibly_broken << ' ' << counts.not_begun << ' '
           << counts.early_as_whole << ' ' << counts.missing << ' ' << counts.repeated
           << ' ' << counts.foreign << ' ' << counts.joined << ' ' << counts.sound_broken
           << ' ' << counts.latest_end.count() << ' ' << counts.taken_up << ' '
           << counts.went_on << '\n';
    }
}

} // namespace medlar::soak
