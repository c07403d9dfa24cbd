#include <medlar/detail/gateway/trace_store.hpp>

namespace medlar
{

std::unique_ptr<trace_store> trace_store::create(std::size_t max_entries)
{
    return std::unique_ptr<trace_store>(new trace_store(max_entries));
}

trace_store::trace_store(std::size_t max_entries) : max_each_(max_entries / shard_count)
{
}

void trace_store::add(const request_key& key, const final_answer& answer)
{
    shard& home = shards_[hash_of(key) % shards_.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    const final_answer without_output{answer.result, "", answer.trace};
    const bool fresh = home.ends.insert_or_assign(key, without_output).second;
    if (fresh)
    {
        home.oldest_first.push_back(key);
    }
    if (home.oldest_first.size() > max_each_)
    {
        home.ends.erase(home.oldest_first.front());
        home.oldest_first.pop_front();
    }
}

std::optional<final_answer> trace_store::find(const request_key& key) const
{
    const shard& home = shards_[hash_of(key) % shards_.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.ends.find(key);
    return found == home.ends.end() ? std::nullopt
                                    : std::optional<final_answer>(found->second);
}

} // namespace medlar
