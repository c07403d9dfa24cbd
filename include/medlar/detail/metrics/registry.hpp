#ifndef MEDLAR_DETAIL_METRICS_REGISTRY_HPP
#define MEDLAR_DETAIL_METRICS_REGISTRY_HPP

#include <absl/strings/string_view.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlar
{

/// @brief a label of a metric
struct label
{
    std::string name;
    std::string value;
};

/// @brief Counters, gauges and summaries of a process. The series are split into
/// shards, each with its own lock, to reduce contention. Summaries use
/// Boost.Accumulators and have a count, a sum, and the quantiles 0.5, 0.95 and 0.99.
class metrics_registry
{
  public:
    static std::unique_ptr<metrics_registry> create();

    ~metrics_registry();

    /// @brief Adds to a counter.
    /// @param name such as "medlar_requests_total"
    void add(absl::string_view name, const std::vector<label>& labels, double amount = 1);

    /// @brief Sets a gauge.
    void set(absl::string_view name, const std::vector<label>& labels, double value);

    /// @brief Adds a sample to a summary.
    void observe(absl::string_view name, const std::vector<label>& labels, double sample);

    /// @brief Returns all metrics in the Prometheus text format.
    std::string write() const;

  private:
    struct summary;
    struct shard;

    metrics_registry();

    shard& shard_of(const std::string& series) const;

    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_METRICS_REGISTRY_HPP
