#include <medlar/detail/dispatch/end_check.hpp>

#include <array>

namespace medlar
{

namespace
{

// The connections of a process and its listener end one after the other within some ms;
// one packet that is lost on the way is sent again in a few hundred.
constexpr millis settle_time{100};

// a target that does not accept connections any more, but keeps those that it has, is
// about to leave and finishes its answers
constexpr int max_refusals = 4;

// a sound target that falls silent goes on after a second or so, and then answers; one
// that has just started may take as long before it reads
constexpr int max_silent = 4;

// one packet of a handshake may be lost
constexpr int max_unreachable = 3;

// waits before the next question when new connections are accepted and then reset: the
// address of a process that has ended did so for 300 ms, until the next one answered; a
// target that resets connections beyond its limit accepts one once another has ended
constexpr std::array<millis, 6> waits_after_reset{
    millis(100), millis(100), millis(100), millis(300), millis(500), millis(500)};

// resets after which an older connection that is still open is to a process that lives;
// its end would have come within that time
constexpr std::size_t resets_beside_older_connection = 4;

} // namespace

absl::string_view to_string(question_end end)
{
    switch (end)
    {
        case question_end::answered:
            return "answered";
        case question_end::misdirected:
            return "misdirected";
        case question_end::silent:
            return "silent";
        case question_end::broken_off:
            return "broken_off";
        case question_end::refused:
            return "refused";
        case question_end::unreachable:
            return "unreachable";
    }
    return "unknown";
}

absl::string_view to_string(answer_end end)
{
    switch (end)
    {
        case answer_end::whole:
            return "whole";
        case answer_end::cut:
            return "cut";
        case answer_end::unknown:
            return "unknown";
    }
    return "unknown";
}

end_check end_check::create(const sender_start& sender)
{
    return end_check(sender);
}

end_check::end_check(const sender_start& sender) : sender_(sender)
{
}

bool end_check::is_of_other_process(const end_evidence& evidence) const
{
    const bool differs = sender_.started_ms && evidence.started_ms &&
                         *sender_.started_ms != *evidence.started_ms;
    // a connection that lives on weighs more than an entry, which may be late
    return differs && (sender_.is_stated || !evidence.has_older_connection);
}

bool end_check::is_of_same_process(const end_evidence& evidence) const
{
    return sender_.started_ms && sender_.started_ms == evidence.started_ms;
}

bool end_check::is_proof_needed(const end_evidence& evidence) const
{
    return resets_ > 0 && !evidence.has_older_connection;
}

std::variant<answer_end, ask_again>
end_check::consider_reset(const end_evidence& evidence)
{
    if (evidence.is_kept_connection)
    {
        // a server may end an idle connection at any moment
        return ask_again{millis(0)};
    }
    ++resets_;
    if (evidence.has_older_connection && resets_ >= resets_beside_older_connection)
    {
        return answer_end::whole;
    }
    if (resets_ > waits_after_reset.size())
    {
        return answer_end::unknown;
    }
    return ask_again{waits_after_reset.at(resets_ - 1)};
}

std::variant<answer_end, ask_again> end_check::consider(const end_evidence& evidence)
{
    switch (evidence.end)
    {
        case question_end::answered:
            if (is_of_other_process(evidence))
            {
                return answer_end::cut;
            }
            // the next process may have answered after those resets
            return is_proof_needed(evidence) && !is_of_same_process(evidence)
                       ? answer_end::unknown
                       : answer_end::whole;
        case question_end::misdirected:
            return answer_end::cut;
        case question_end::silent:
            if (!evidence.has_older_connection && ++silent_ < max_silent)
            {
                return ask_again{millis(0)};
            }
            return is_proof_needed(evidence) ? answer_end::unknown : answer_end::whole;
        case question_end::broken_off:
            return consider_reset(evidence);
        case question_end::refused:
            if (!evidence.has_older_connection)
            {
                // one that was silent may have left since
                return silent_ > 0 && resets_ == 0 ? answer_end::whole : answer_end::cut;
            }
            if (++refusals_ < max_refusals)
            {
                return ask_again{settle_time};
            }
            return answer_end::whole;
        case question_end::unreachable:
            if (++unreachable_ < max_unreachable)
            {
                return ask_again{settle_time};
            }
            // the end of a process would have come over the same path
            return evidence.has_older_connection ? answer_end::whole
                                                 : answer_end::unknown;
    }
    return answer_end::unknown;
}

} // namespace medlar
