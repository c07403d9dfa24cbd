#ifndef MEDLAR_DETAIL_DISPATCH_VERSION_EVIDENCE_HPP
#define MEDLAR_DETAIL_DISPATCH_VERSION_EVIDENCE_HPP

#include <medlar/detail/base/ids.hpp>

#include <absl/strings/string_view.h>

#include <set>
#include <vector>

namespace medlar
{

/// @brief What shows that a host knows all versions at which a stream may have begun.
enum class version_evidence
{
    none,
    /// this host's copy of the store has all that the store had after the question came
    store,
    /// the same holds for the copy of another host that has answered
    host,
    /// the store is away, and all other hosts have answered
    all_hosts
};

/// @brief Returns the name of a kind of evidence in log lines.
absl::string_view to_string(version_evidence evidence);

/// @brief Decides whether the versions that a host knows of are all at which a stream
/// that is taken up may have begun. Has no I/O and no clock.
///
/// Knowing of one version only is no evidence: a host that was cut off or stood still
/// knows of one long after targets of another have joined, and so do peers that were cut
/// off with it. What was known when the question came has to be shown by an answer that
/// was given after that. Load: callers that come back, while targets are replaced by
/// those of another version, to a host that is out of step.
class version_inquiry
{
  public:
    /// @brief Records that another host has told which versions it knows of.
    /// @param is_current whether its copy of the store was confirmed after the question
    /// came
    void record_answer(const host_id& from, bool is_current);

    /// @brief Records that nothing listens at the address of another host.
    void record_refused(const host_id& host);

    /// @brief Records that the copy of this host was confirmed after the question came.
    void record_current_copy()
    {
        is_copy_current_ = true;
    }

    /// @brief Returns what shows that all versions are known.
    /// @param others the other hosts that are registered
    /// @param is_store_away whether the store does not answer this host. While it
    /// answers, hosts may have registered that this one does not know
    version_evidence evidence(const std::vector<host_id>& others,
                              bool is_store_away) const;

  private:
    bool have_all_answered(const std::vector<host_id>& others) const;

    bool is_copy_current_ = false;
    bool is_host_current_ = false;
    std::set<host_id> answered_;
    std::set<host_id> refused_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_VERSION_EVIDENCE_HPP
