#ifndef MEDLAR_DETAIL_DISPATCH_PATH_EVIDENCE_HPP
#define MEDLAR_DETAIL_DISPATCH_PATH_EVIDENCE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief Whether this host has a network path to the targets of a pool, judged by its
/// calls and by probes.
///
/// One target that does not answer has crashed, or is slow; a host without a path gets no
/// answer from any. The path counts as lost once several targets, or all, cannot be
/// connected to since the last sign of life of any of them. It counts as present again
/// with the next sign of life: bytes on an old connection are one, also while new
/// connections are refused.
class path_evidence
{
  public:
    /// @brief Records that a request was sent to a target.
    void record_call(steady_time now);

    /// @brief Records bytes from a target, or a connection to it that was established.
    void record_contact();

    /// @brief Records that a target could not be connected to.
    void record_failure(const target_id& target);

    /// @brief Records that a target broke off a call without an answer, or that the host
    /// has lost the path to another pool: the path is probed at once.
    void doubt();

    /// @brief Returns the targets to connect to now: some, if calls wait for too long or
    /// the path is in doubt; one from time to time while it is lost.
    /// @param targets the targets of the pool
    /// @param pick a random number that selects among them
    std::vector<target_id> start_probes(const std::vector<target_id>& targets,
                                        std::size_t pick,
                                        steady_time now);

    /// @brief Records that a probe has ended, after its result was recorded.
    void record_probe_end();

    /// @brief Decides whether the path is lost.
    /// @param target_count number of targets of the pool
    bool update_lost(std::size_t target_count);

  private:
    bool is_probe_due(steady_time now) const;

    /// targets that could not be connected to since the last sign of life
    std::set<target_id> failed_;
    /// when the oldest call was sent since the last sign of life
    std::optional<steady_time> waiting_since_;
    std::optional<steady_time> probed_at_;
    std::size_t open_probes_ = 0;
    bool is_in_doubt_ = false;
    /// whether a round of probes has ended since the last sign of life
    bool is_probed_ = false;
    bool is_lost_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PATH_EVIDENCE_HPP
