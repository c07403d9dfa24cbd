#ifndef MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP
#define MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP

#include <medlar/detail/policy/stage_call.hpp>

namespace medlar
{

/// @brief A straight line through (size, time) samples, older ones weighing less.
///
/// Samples above the line weigh less than those below it, so the line follows the time
/// of calls that did not wait.
class size_regression
{
  public:
    /// @brief Learns from one sample.
    void learn(double size, double time_ms);

    /// @brief the time at @p size; 0 before the first sample
    double at(double size) const;

    /// @brief whether a sample was seen
    bool has_samples() const
    {
        return weight_ > 0;
    }

  private:
    double slope() const;

    // decayed sums over the samples
    double weight_ = 0;
    double sum_size_ = 0;
    double sum_time_ = 0;
    double sum_size_size_ = 0;
    double sum_size_time_ = 0;
};

/// @brief Estimates how long a call of one kind runs in one pool, queueing left out.
class service_model
{
  public:
    /// @brief Learns from a call that succeeded.
    void learn(const call_observation& observation);

    /// @brief milliseconds that a call of that size is expected to run
    double estimate_ms(const request_size& size) const;

    /// @brief milliseconds that this call is expected to run, given what it found
    /// cached
    double estimate_ms(const call_observation& observation) const;

    /// @brief milliseconds that a cached prefix saves
    double prefix_saving_ms(const request_size& size) const;

    /// @brief tokens that a call of that size is expected to write
    double expected_tokens(const request_size& size) const;

    /// @brief whether a call was seen
    bool has_samples() const
    {
        return uncached_start_.has_samples() || cached_start_.has_samples();
    }

  private:
    double start_ms(const request_size& size) const;

    /// time before the first token, or of the whole call, by input kilobytes
    size_regression uncached_start_;
    /// the same where the prefix of the prompt was cached
    size_regression cached_start_;
    /// share of generate calls that found their prefix cached
    double cached_share_ = 0;
    // generate calls
    double ms_per_token_ = 0;
    double mean_tokens_ = 0;
    double share_of_max_tokens_ = 1;
    bool tokens_known_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP
