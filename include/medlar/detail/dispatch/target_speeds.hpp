#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_SPEEDS_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_SPEEDS_HPP

#include <medlar/detail/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <vector>

namespace medlar
{

/// @brief The typical time between two events of the streams of a target.
struct target_pace
{
    target_id target;
    double gap_ms = 0;
};

/// @brief Estimates how fast the engines of one pool generate, compared with each other,
/// from the times between the events of their streams.
///
/// Engines of one pool may run on machines of different speed. An equal share of the
/// prompts then queues at the slow ones under the load of a burst, while the fast ones
/// are idle. Streams of a pool have events of the same size, so that the time between
/// two events measures the engine. What else stretches it (prompts of other requests,
/// a machine that is shared for a moment) only lengthens it, so that of the last streams
/// the lower quartile counts.
class target_speeds
{
  public:
    /// @brief Takes in the typical time between the events of one stream.
    /// @param gap_ms ignored unless it is within the bounds of a plausible stream
    void record(const target_id& target, double gap_ms);

    /// @brief Replaces the estimate of a target by that of the host which collects the
    /// streams of all hosts.
    void set(const target_pace& pace);

    /// @brief Removes the estimates of targets that @p is_wanted does not name.
    template <typename Predicate>
    void retain(const Predicate& is_wanted)
    {
        for (auto each = estimates_.begin(); each != estimates_.end();)
        {
            each = is_wanted(each->first) ? std::next(each) : estimates_.erase(each);
        }
    }

    /// @brief Returns the speed of a target relative to the median of an uneven pool; 1
    /// in an even one, and while too little is known of the target or of the pool.
    double speed_of(const target_id& target) const;

    /// @brief Returns the share of the prompts that a target is to get, relative to a
    /// target of the median speed.
    double weight_of(const target_id& target) const;

    /// @brief Returns the number of the last change that is worth telling other hosts.
    std::uint64_t version() const
    {
        return version_;
    }

    /// @brief Returns the estimates that have changed after a version.
    std::vector<target_pace> changes_since(std::uint64_t version) const;

  private:
    struct estimate
    {
        /// of the last streams, the oldest one first
        std::deque<double> streams;
        /// what counts; 0 while too little is known
        double gap_ms = 0;
        /// number of its last change
        std::uint64_t changed_at = 0;
    };

    /// the median of the pool; 0 if its targets are about equal, or little is known
    double gap_of_uneven_pool_ms() const;

    std::map<target_id, estimate> estimates_;
    std::uint64_t version_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_SPEEDS_HPP
