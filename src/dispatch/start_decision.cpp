#include <medlar/detail/dispatch/start_decision.hpp>

namespace medlar
{

absl::string_view to_string(start_decision choice)
{
    switch (choice)
    {
        case start_decision::in_time:
            return "in time";
        case start_decision::late:
            return "late";
        case start_decision::refused:
            return "refused";
    }
    return "unknown";
}

namespace
{

// a pool has free capacity if the queueing time is at most this part of the service time
constexpr std::int64_t max_queueing_divisor = 3;

} // namespace

start_decision decide_retry(const start_input& input)
{
    if (input.expected_time <= input.until_soft_deadline)
    {
        return start_decision::in_time;
    }
    const bool has_capacity =
        input.expected_time <=
        input.service_time + input.service_time / max_queueing_divisor;
    return has_capacity && input.expected_time <= input.until_deadline
               ? start_decision::late
               : start_decision::refused;
}

start_decision decide_start(const start_input& input)
{
    if (input.expected_time <= input.until_soft_deadline)
    {
        return start_decision::in_time;
    }
    const bool late_without_queues = input.service_time > input.until_soft_deadline;
    const bool before_deadline = input.expected_time <= input.until_deadline;
    return input.has_finished_work || (late_without_queues && before_deadline)
               ? start_decision::late
               : start_decision::refused;
}

} // namespace medlar
