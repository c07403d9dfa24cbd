#ifndef MEDLAR_DETAIL_ENTRY_START_QUESTION_HPP
#define MEDLAR_DETAIL_ENTRY_START_QUESTION_HPP

#include <medlar/detail/entry/entry_context.hpp>

#include <memory>

namespace medlar
{

/// @brief Returns the question for the start of the process at the address of a target.
/// What its answer says of a cold target is recorded.
std::shared_ptr<const start_question> make_start_question(entry_context& context,
                                                          const target_record& target);

/// @brief Records whether a target has answered the question for its start.
void record_inquiry(entry_context& context,
                    target_state& target,
                    const start_answer& answer);

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_START_QUESTION_HPP
