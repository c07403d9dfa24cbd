#include <medlar/detail/entry/start_question.hpp>

namespace medlar
{

std::shared_ptr<const start_question> make_start_question(entry_context& context,
                                                          const target_record& target)
{
    const entry_protocol& protocol = context.protocol;
    return std::make_shared<const start_question>(start_question{
        protocol.write_start_question(target.address, {}),
        [&context, id = target.id](const answer_head& head)
        {
            const answer_fields answer = context.protocol.read_answer(head);
            const bool is_report = answer.attempt.empty();
            if (is_report && !answer.is_of_other_target)
            {
                context.record_cold_time(id, answer);
            }
            return is_report;
        },
        [&protocol](absl::string_view body)
        {
            return protocol.read_start_answer(body);
        },
        [&protocol](absl::string_view body)
        {
            return protocol.is_whole_start_answer(body);
        }});
}

void record_inquiry(entry_context& context,
                    target_state& target,
                    const start_answer& answer)
{
    if (!answer.was_asked)
    {
        return;
    }
    target.states_no_start = !answer.started_ms;
    if (answer.is_unanswered)
    {
        target.inquiry.record_unanswered(context.loop.now());
    }
    else
    {
        target.inquiry.record_answered();
    }
}

} // namespace medlar
