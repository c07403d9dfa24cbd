#ifndef MEDLAR_DETAIL_ENTRY_END_INQUIRY_HPP
#define MEDLAR_DETAIL_ENTRY_END_INQUIRY_HPP

#include <medlar/detail/dispatch/end_check.hpp>
#include <medlar/detail/entry/entry_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief What an end_inquiry has found.
struct end_finding
{
    answer_end end = answer_end::unknown;
    /// the last evidence
    end_evidence evidence;
    int questions = 0;
    millis took{0};
};

/// @brief Asks a target after one of its connections has ended, until an end_check can
/// say whether the answer on that connection is whole. Destroying it ends it.
class end_inquiry
{
  public:
    /// @param target target that has sent the answer, and its address
    /// @param sender process that has sent the answer
    /// @param seen_open_at when the connection was last seen to be open: another one that
    /// is older and lives on is to the same process
    /// @param on_found called once, not within this call; it may destroy the inquiry
    end_inquiry(entry_context& context,
                const target_id& target,
                const endpoint& where,
                const sender_start& sender,
                steady_time seen_open_at,
                std::function<void(const end_finding&)> on_found);
    ~end_inquiry();

    end_inquiry(const end_inquiry&) = delete;
    end_inquiry& operator=(const end_inquiry&) = delete;

  private:
    void ask();
    void wait_for_answer();
    void on_answer_end(call_end how);
    void take_in(end_evidence evidence);

    entry_context& context_;
    target_id target_;
    endpoint where_;
    end_check check_;
    steady_time seen_open_at_;
    std::function<void(const end_finding&)> on_found_;
    steady_time began_;
    int questions_ = 0;
    std::shared_ptr<client_call> call_;
    /// whether the question is asked over a connection that was open before
    bool is_kept_connection_ = false;
    bool has_head_ = false;
    /// whether only the end of the connection marks the end of the answer
    bool is_unframed_ = false;
    bool is_misdirected_ = false;
    std::string answer_;
    timer_id timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_END_INQUIRY_HPP
