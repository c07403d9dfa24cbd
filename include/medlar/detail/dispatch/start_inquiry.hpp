#ifndef MEDLAR_DETAIL_DISPATCH_START_INQUIRY_HPP
#define MEDLAR_DETAIL_DISPATCH_START_INQUIRY_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Decides whether a call waits until a target has said when its process started.
///
/// A target that leaves the question without an answer is asked again from time to time
/// only, by one call each; the others do not wait.
class start_inquiry
{
  public:
    /// @brief Returns whether a call may ask now. After a question without an answer it
    /// counts as the one that asks again.
    bool begin(steady_time now);

    /// @brief Records that a question got no answer in time.
    void record_unanswered(steady_time now);

    /// @brief Records the answer to a question.
    void record_answered();

    /// @brief Returns whether the latest question got no answer.
    bool is_unanswered() const
    {
        return unanswered_ > 0;
    }

  private:
    void postpone(steady_time now);

    int unanswered_ = 0;
    steady_time ask_again_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_START_INQUIRY_HPP
