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
