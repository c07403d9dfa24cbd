#ifndef MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP
#define MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP

#include <medlar/detail/policy/stage_call.hpp>

namespace medlar
{

/// @brief A weighted linear regression of time on size, with exponential decay of old
/// samples.
///
/// Samples above the line weigh less than those below it, so that the line follows the
/// time of calls that were not queued.
class size_regression
{
  public:
    /// @brief Adds a sample.
    void learn(double size, double time_ms);

    /// @brief Returns the time at @p size; 0 before the first sample.
    double predict_ms(double size) const;

    bool has_samples() const
    {
        return weight_ > 0;
    }

  private:
    double slope() const;

    // exponentially decayed sums over the samples
    double weight_ = 0;
    double sum_size_ = 0;
    double sum_time_ = 0;
    double sum_size_size_ = 0;
    double sum_size_time_ = 0;
};

/// @brief Estimates the service time of calls of one kind in one pool, without queueing.
class service_model
{
  public:
    /// @brief Updates the model from a successful call.
    void learn(const call_observation& observation);

    /// @brief Returns the expected service time of a call of that size, in milliseconds.
    double estimate_ms(const request_size& size) const;

    /// @brief Returns the expected service time of an observed call in milliseconds,
    /// given whether its prefix was cached and how many tokens it wrote.
    double estimate_ms(const call_observation& observation) const;

    /// @brief Returns the milliseconds that a cached prefix saves.
    double prefix_saving_ms(const request_size& size) const;

    /// @brief Returns the expected number of tokens that a call of that size writes.
    double expected_tokens(const request_size& size) const;

    bool has_samples() const
    {
        return uncached_start_.has_samples() || cached_start_.has_samples();
    }

  private:
    double start_ms(const request_size& size) const;

    /// time to the first token, or of the whole call, by input kilobytes
    size_regression uncached_start_;
    /// the same for calls whose prompt prefix was cached
    size_regression cached_start_;
    /// share of generate calls whose prefix was cached
    double cached_share_ = 0;
    // generate calls
    double ms_per_token_ = 0;
    double mean_tokens_ = 0;
    double share_of_max_tokens_ = 1;
    bool tokens_known_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_SERVICE_MODEL_HPP
