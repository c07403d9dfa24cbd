#ifndef MEDLAR_DETAIL_DISPATCH_END_CHECK_HPP
#define MEDLAR_DETAIL_DISPATCH_END_CHECK_HPP

#include <medlar/detail/base/clock.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace medlar
{

/// @brief What came of asking a target a question.
enum class question_end
{
    answered,    ///< a process at its address answers
    misdirected, ///< the process at its address is that of another target
    silent,      ///< it has accepted the connection, which stays open without an answer
    broken_off,  ///< it has accepted the connection, which ended without an answer
    refused,     ///< nothing listens at its address
    unreachable, ///< no connection in time
};

/// @brief Returns the name of an outcome in logs, such as "refused".
absl::string_view to_string(question_end end);

/// @brief What asking a target once has shown, after a connection to it had ended.
struct end_evidence
{
    question_end end = question_end::answered;
    /// start of the process that answers, Unix time in ms; unset if it states none
    std::optional<std::int64_t> started_ms;
    /// another connection is still open, which is so old that it is to the process that
    /// has sent the answer
    bool has_older_connection = false;
    /// the question was sent over a connection that was open before
    bool is_kept_connection = false;
};

/// @brief The start of the process that has sent an answer, as far as it is known.
struct sender_start
{
    /// Unix time in ms; unset if it is unknown
    std::optional<std::int64_t> started_ms;
    /// whether the process has stated it on the connection of the answer; an entry may be
    /// that of the process before
    bool is_stated = false;
};

/// @brief What the end of a connection says of the answer that it ends.
enum class answer_end
{
    whole,   ///< the process has ended the answer: it lives on
    cut,     ///< the process has ended, and all of its connections with it
    unknown, ///< the target cannot be asked
};

/// @brief Returns the name of an end in logs, such as "whole".
absl::string_view to_string(answer_end end);

/// @brief The target has to be asked again, over a new connection.
struct ask_again
{
    millis delay{0};
};

/// @brief Decides whether an answer that ends with its connection is whole.
///
/// A regular end says that the process has ended its answer, or that the process itself
/// has ended: its kernel then ends all its connections in the same way. An answer to a
/// question that was asked after the end tells the two apart. A question that is accepted
/// and then reset does not: it is asked again until an answer or a refusal comes, or an
/// older connection has outlived several of them.
class end_check
{
  public:
    static end_check create(const sender_start& sender);

    /// @brief Takes in what asking the target has shown.
    std::variant<answer_end, ask_again> consider(const end_evidence& evidence);

  private:
    explicit end_check(const sender_start& sender);

    std::variant<answer_end, ask_again> consider_reset(const end_evidence& evidence);
    bool is_of_other_process(const end_evidence& evidence) const;
    /// whether both starts are known, and are the same
    bool is_of_same_process(const end_evidence& evidence) const;
    /// whether nothing but an answer of the same process shows that it lives, since a
    /// process that ends has its new connections reset, too
    bool is_proof_needed(const end_evidence& evidence) const;

    sender_start sender_;
    int silent_ = 0;
    std::size_t resets_ = 0;
    int refusals_ = 0;
    int unreachable_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_END_CHECK_HPP
