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

/// @brief Outcomes and traces, without outputs, of the latest requests of this host.
/// Sharded, each shard with its own mutex.
class trace_store
{
  public:
    /// @param max_entries capacity; the oldest entries are dropped
    static std::unique_ptr<trace_store> create(std::size_t max_entries);

    /// @brief Stores outcome and trace of a request.
    void add(const request_key& key, const final_answer& answer);

    /// @brief Returns outcome and trace of a request; unset if there is no entry.
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
