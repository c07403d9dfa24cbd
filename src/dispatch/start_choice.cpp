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

// part of the time without queues that may be waited in them where a pool has room
constexpr std::int64_t room_divisor = 3;

} // namespace

start_choice choose_return(const start_question& asked)
{
    if (asked.expected <= asked.until_aim)
    {
        return start_choice::in_time;
    }
    const bool has_room =
        asked.expected <= asked.unqueued + asked.unqueued / room_divisor;
    return has_room && asked.expected <= asked.until_deadline ? start_choice::late
                                                              : start_choice::refused;
}

start_choice choose_start(const start_question& asked)
{
    if (asked.expected <= asked.until_aim)
    {
        return start_choice::in_time;
    }
    const bool late_on_its_own = asked.unqueued > asked.until_aim;
    const bool can_be_served = asked.expected <= asked.until_deadline;
    return asked.has_begun || (late_on_its_own && can_be_served) ? start_choice::late
                                                                 : start_choice::refused;
}

} // namespace medlar
