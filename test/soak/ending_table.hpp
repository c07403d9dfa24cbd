#ifndef MEDLAR_TEST_SOAK_ENDING_TABLE_HPP
#define MEDLAR_TEST_SOAK_ENDING_TABLE_HPP

#include <medlar/detail/base/clock.hpp>

#include <map>
#include <ostream>
#include <string>

namespace medlar::soak
{

/// @brief Numbers of streams of one class, by what became of them.
struct ending_counts
{
    int streams = 0;
    int whole = 0;
    int visibly_broken = 0;
    int not_begun = 0;
    int early_as_whole = 0;
    int missing = 0;
    int repeated = 0;
    int foreign = 0;
    int joined = 0;
    /// taken up by their callers, and those of them that went on
    int taken_up = 0;
    int went_on = 0;
    /// broken off for the caller, but not by a target
    int sound_broken = 0;
    /// longest time from the end at the target until the end at the caller
    millis latest_end{0};
};

/// @brief Counts by the class of a stream: its framing, the end of its target, its route.
using ending_table = std::map<std::string, ending_counts>;

/// @brief Adds the counts of a run.
void add(ending_table& sum, const ending_table& run);

/// @brief Prints a line for each class.
void print(const ending_table& table, std::ostream& to);

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_ENDING_TABLE_HPP
