#ifndef MEDLAR_DETAIL_DISPATCH_PROCESS_EVIDENCE_HPP
#define MEDLAR_DETAIL_DISPATCH_PROCESS_EVIDENCE_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief Decides whether the entry of a target is that of the process at its address,
/// where the process does not say when it has started.
///
/// The connections to a process end with it. Once they have, another process may answer,
/// until the entry shows a new one or goes on being written by the same one.
class process_evidence
{
  public:
    /// @brief Records that the connections to the process have ended.
    void record_loss();

    /// @brief Records that the entry was written again under the same start time.
    /// @param is_new_version whether it names another version than before
    /// @return whether the entry is that of the process now
    bool record_write(bool is_new_version, steady_time now);

    bool may_have_restarted() const
    {
        return may_have_restarted_;
    }

  private:
    bool may_have_restarted_ = false;
    /// when the entry was first written again
    std::optional<steady_time> written_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PROCESS_EVIDENCE_HPP
