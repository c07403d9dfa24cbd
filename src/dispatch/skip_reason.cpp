#include <medlar/detail/dispatch/skip_reason.hpp>

namespace medlar
{

absl::string_view to_string(skip_reason why)
{
    switch (why)
    {
        case skip_reason::none:
            return "";
        case skip_reason::draining:
            return "its entry says that it is draining";
        case skip_reason::leaving:
            return "it has said that it is going to stop";
        case skip_reason::evacuated:
            return "its failure domain is evacuated";
        case skip_reason::refused:
            return "it refused a call as full";
        case skip_reason::paused:
            return "it asked for a pause";
        case skip_reason::limited:
            return "its permits are used up";
        case skip_reason::ejected:
            return "it is ejected after failures";
        case skip_reason::probing:
            return "a probe after its ejection is in progress";
        case skip_reason::tried:
            return "the request was sent to it before";
        case skip_reason::other_origin:
            return "the stream cannot go on at its version";
        case skip_reason::waited_for_permits:
            return "it is cold, and the request has waited for permits long enough";
        case skip_reason::share_used:
            return "this host has used its share of the target's slots";
        case skip_reason::other_version:
            return "the stream should begin at another version";
        case skip_reason::other_domain:
            return "the results that the request reads are in another failure domain";
        case skip_reason::no_permit:
            return "it needs a permit, and there is none now";
        case skip_reason::no_slot:
            return "it is in slow start, and this host has no slot of it";
        case skip_reason::slot_held:
            return "this host has a slot of another one in slow start";
        case skip_reason::not_in_group:
            return "it is in another group of its pool";
        case skip_reason::above_load_bound:
            return "preferred for the prompt, but above the bound on its load";
        case skip_reason::less_preferred:
            return "another one is preferred for the prompt";
        case skip_reason::busier:
            return "it has more calls per slot than the chosen one";
        case skip_reason::farther:
            return "it is as busy as the chosen one, but in another failure domain";
        case skip_reason::drawn:
            return "it is equal to the chosen one, which was drawn";
    }
    return "unknown";
}

} // namespace medlar
