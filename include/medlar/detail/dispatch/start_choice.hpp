#ifndef MEDLAR_DETAIL_DISPATCH_START_CHOICE_HPP
#define MEDLAR_DETAIL_DISPATCH_START_CHOICE_HPP

#include <medlar/detail/base/clock.hpp>

#include <absl/strings/string_view.h>

namespace medlar
{

/// @brief how a request with stages begins
enum class start_choice
{
    /// its pieces go first, by when they are needed
    in_time,
    /// its pieces use what requests in time leave
    late,
    /// it would only take room and work from others; its caller may come back
    refused
};

/// @brief name of a choice in log lines
absl::string_view to_string(start_choice choice);

/// @brief what is known when a request with stages begins
struct start_question
{
    /// time until its stages are done, with the queues as they are
    millis expected{0};
    /// the same if nothing waited anywhere
    millis unqueued{0};
    /// time until its stages must be done for an answer in time
    millis until_aim{0};
    /// time until nobody waits for them any more
    millis until_deadline{0};
    /// whether it has finished work that refusing it would waste
    bool has_begun = false;
};

/// @brief Decides whether a request begins.
///
/// Load: bursts of 2 to 2.6 times the usual, in which the last stage is asked for 1.6
/// times what it makes. Late requests that wait for what is left keep their results for
/// seconds, so that others find no room, and most of them are never finished. A request
/// that would be late because of the queues is refused at once; one that is late on its
/// own, such as a very large one, is served.
start_choice choose_start(const start_question& asked);

/// @brief Decides on a request that was refused before and came back.
///
/// It is late already, or nearly. It begins where it takes no place from others: if it
/// can still be in time, or hardly anything waits.
/// @param asked with the time that its caller has waited taken off until_aim
start_choice choose_return(const start_question& asked);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_START_CHOICE_HPP
