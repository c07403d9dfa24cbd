#include <medlar/detail/dispatch/start_choice.hpp>

namespace medlar
{

absl::string_view to_string(start_choice choice)
{
    switch (choice)
    {
        case start_choice::in_time:
            return "in time";
        case start_choice::late:
            return "late";
        case start_choice::refused:
            return "refused";
    }
    return "unknown";
}

namespace
{

// a pool has free capacity if the queueing time is at most this part of the service time
constexpr std::int64_t max_queueing_divisor = 3;

} // namespace

start_choice choose_return(const start_question& input)
{
    if (input.expected <= input.until_aim)
    {
        return start_choice::in_time;
    }
    const bool has_capacity =
        input.expected <= input.unqueued + input.unqueued / max_queueing_divisor;
    return has_capacity && input.expected <= input.until_deadline ? start_choice::late
                                                                  : start_choice::refused;
}

start_choice choose_start(const start_question& input)
{
    if (input.expected <= input.until_aim)
    {
        return start_choice::in_time;
    }
    const bool late_without_queues = input.unqueued > input.until_aim;
    const bool before_deadline = input.expected <= input.until_deadline;
    return input.has_begun || (late_without_queues && before_deadline)
               ? start_choice::late
               : start_choice::refused;
}

} // namespace medlar
