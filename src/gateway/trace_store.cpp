#include <medlar/detail/gateway/trace_store.hpp>

namespace medlar
{

std::unique_ptr<trace_store> trace_store::create(std::size_t max_entries)
{
    return std::unique_ptr<trace_store>(new trace_store(max_entries));
}

trace_store::trace_store(std::size_t max_entries)
    : max_per_shard_(max_entries / shard_count)
{
}

void trace_store::add(const request_key& key, const final_answer& answer)
{
    shard& key_shard = shards_[hash_of(key) % shards_.size()];
    const std::lock_guard<std::mutex> lock(key_shard.mutex);
    const final_answer without_output{answer.result, "", answer.trace};
    const bool is_new = key_shard.answers.insert_or_assign(key, without_output).second;
    if (is_new)
    {
        key_shard.oldest_first.push_back(key);
    }
    if (key_shard.oldest_first.size() > max_per_shard_)
    {
        key_shard.answers.erase(key_shard.oldest_first.front());
        key_shard.oldest_first.pop_front();
    }
}

std::optional<final_answer> trace_store::find(const request_key& key) const
{
    const shard& key_shard = shards_[hash_of(key) % shards_.size()];
    const std::lock_guard<std::mutex> lock(key_shard.mutex);
    const auto found = key_shard.answers.find(key);
    return found == key_shard.answers.end() ? std::nullopt
                                            : std::optional<final_answer>(found->second);
}

} // namespace medlar
