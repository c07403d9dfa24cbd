#include <medlar/detail/metrics/registry.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <functional>

namespace medlar
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::size_t shard_count = 8;
constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};

using sample_set = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string label_text(const std::vector<label>& labels)
{
    std::string text;
    for (const label& each : labels)
    {
        const std::string escaped = absl::StrReplaceAll(
            each.value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
        absl::StrAppend(&text, text.empty() ? "" : ",", each.name, "=\"", escaped, "\"");
    }
    return text;
}

std::string series_name(absl::string_view name, const std::string& labels)
{
    return labels.empty() ? std::string(name) : absl::StrCat(name, "{", labels, "}");
}

} // namespace

struct metrics_registry::summary
{
    std::string name;
    std::string labels;
    sample_set samples{acc::extended_p_square_probabilities = quantiles};
};

struct metrics_registry::shard
{
    std::mutex mutex;
    std::map<std::string, double> values;
    std::map<std::string, summary> summaries;
};

metrics_registry::metrics_registry()
{
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        shards_.push_back(std::make_unique<shard>());
    }
}

metrics_registry::~metrics_registry() = default;

std::unique_ptr<metrics_registry> metrics_registry::create()
{
    return std::unique_ptr<metrics_registry>(new metrics_registry());
}

metrics_registry::shard& metrics_registry::shard_of(const std::string& series) const
{
    return *shards_[std::hash<std::string>{}(series) % shards_.size()];
}

void metrics_registry::add(absl::string_view name,
                           const std::vector<label>& labels,
                           double amount)
{
    const std::string series = series_name(name, label_text(labels));
    shard& target_shard = shard_of(series);
    const std::lock_guard<std::mutex> lock(target_shard.mutex);
    target_shard.values[series] += amount;
}

void metrics_registry::set(absl::string_view name,
                           const std::vector<label>& labels,
                           double value)
{
    const std::string series = series_name(name, label_text(labels));
    shard& target_shard = shard_of(series);
    const std::lock_guard<std::mutex> lock(target_shard.mutex);
    target_shard.values[series] = value;
}

void metrics_registry::observe(absl::string_view name,
                               const std::vector<label>& labels,
                               double sample)
{
    const std::string text = label_text(labels);
    const std::string series = series_name(name, text);
    shard& target_shard = shard_of(series);
    const std::lock_guard<std::mutex> lock(target_shard.mutex);
    summary& entry = target_shard.summaries[series];
    entry.name = std::string(name);
    entry.labels = text;
    entry.samples(sample);
}

std::string metrics_registry::write() const
{
    std::map<std::string, double> lines;
    for (const std::unique_ptr<shard>& each : shards_)
    {
        const std::lock_guard<std::mutex> lock(each->mutex);
        lines.insert(each->values.begin(), each->values.end());
        for (const auto& [series, entry] : each->summaries)
        {
            lines[series_name(entry.name + "_count", entry.labels)] =
                static_cast<double>(acc::count(entry.samples));
            lines[series_name(entry.name + "_sum", entry.labels)] =
                acc::sum(entry.samples);
            for (std::size_t i = 0; i < quantiles.size(); ++i)
            {
                const std::string labels = absl::StrCat(entry.labels,
                                                        entry.labels.empty() ? "" : ",",
                                                        "quantile=\"",
                                                        quantiles[i],
                                                        "\"");
                lines[series_name(entry.name, labels)] =
                    acc::extended_p_square(entry.samples)[i];
            }
        }
    }
    std::string text;
    for (const auto& [series, value] : lines)
    {
        // six digits, as by StrAppend(), would hide most steps of counters above 999,999
        absl::StrAppendFormat(&text, "%s %.15g\n", series, value);
    }
    return text;
}

} // namespace medlar
