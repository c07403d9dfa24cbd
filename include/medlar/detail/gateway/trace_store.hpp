#ifndef MEDLAR_DETAIL_GATEWAY_TRACE_STORE_HPP
#define MEDLAR_DETAIL_GATEWAY_TRACE_STORE_HPP

#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/ownership/claim_table.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace medlar
{

/// @brief How the newest requests of this host ended, without their output; in shards
/// each under its own lock.
class trace_store
{
  public:
    /// @param max_entries entries kept; the oldest are dropped
    static std::unique_ptr<trace_store> create(std::size_t max_entries);

    /// @brief Keeps how a request ended.
    void add(const request_key& key, const final_answer& answer);

    /// @brief how the request ended, output left out
    std::optional<final_answer> find(const request_key& key) const;

  private:
    static constexpr std::size_t shard_count = 8;

    struct shard
    {
        mutable std::mutex mutex;
        std::map<request_key, final_answer> answers;
        std::deque<request_key> oldest_first;
    };

    explicit trace_store(std::size_t max_entries);

    std::size_t max_per_shard_;
    std::array<shard, shard_count> shards_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_TRACE_STORE_HPP
