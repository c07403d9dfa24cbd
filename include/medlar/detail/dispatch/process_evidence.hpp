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
    void record_loss(steady_time at);

    /// @brief Records that nothing listened at the address of the process, here or for
    /// another host.
    /// @return whether that is new
    bool record_end(steady_time at);

    /// @brief Records that the entry was written again under the same start time.
    /// @param is_new_version whether it names another version than before
    /// @return whether the entry is that of the process now
    bool record_write(bool is_new_version, steady_time now);

    bool may_have_restarted() const
    {
        return lost_at_.has_value();
    }

  private:
    std::optional<steady_time> lost_at_;
    /// whether nothing listened at the address since
    bool has_ended_ = false;
    /// when the entry was written; moves on once it is shown that its process lived then
    std::optional<steady_time> written_at_;
    /// when a process that still wrote the entry later has lived
    std::optional<steady_time> alive_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PROCESS_EVIDENCE_HPP
