#include <medlar/detail/ownership/claim_table.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace medlar
{

namespace
{

/// @brief memory of a claim without its texts: hash node, string headers, share of a lock
constexpr std::size_t claim_overhead_bytes = 320;

/// @brief Returns the key of a claim in its shard.
std::string map_key_of(const request_key& key)
{
    return absl::StrCat(key.organisation.get(), "/", key.id.get());
}

/// @brief Returns the estimated memory of a claim in bytes.
std::int64_t memory_of(const claim& stored)
{
    std::size_t size = claim_overhead_bytes + 2 * map_key_of(stored.key).size();
    if (stored.answer)
    {
        size += stored.answer->output.size() + stored.answer->trace.size();
        size += stored.answer->result.message.size();
    }
    return static_cast<std::int64_t>(size);
}

} // namespace

body_digest digest_of(absl::string_view body)
{
    const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
    return {hash.high64, hash.low64};
}

claim_table::claim_table(millis lifetime, byte_count max_bytes)
    : lifetime_(lifetime), max_bytes_(max_bytes)
{
}

std::unique_ptr<claim_table> claim_table::create(millis lifetime, byte_count max_bytes)
{
    return std::unique_ptr<claim_table>(new claim_table(lifetime, max_bytes));
}

claim_table::shard& claim_table::shard_of(const request_key& key)
{
    return shards_[hash_of(key) % shard_count];
}

const claim_table::shard& claim_table::shard_of(const request_key& key) const
{
    return shards_[hash_of(key) % shard_count];
}

std::optional<claim> claim_table::find(const request_key& key) const
{
    const shard& owning_shard = shard_of(key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.claims.find(map_key_of(key));
    if (found == owning_shard.claims.end())
    {
        return std::nullopt;
    }
    return found->second;
}

bool claim_table::has_capacity() const
{
    return bytes_.load() < max_bytes_.get();
}

claim_lookup claim_table::open(const claim& fresh)
{
    shard& owning_shard = shard_of(fresh.key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto [entry, inserted] =
        owning_shard.claims.emplace(map_key_of(fresh.key), fresh);
    if (inserted)
    {
        bytes_ += memory_of(fresh);
        return {claim_state::opened, fresh};
    }
    const claim& existing = entry->second;
    if (existing.digest != fresh.digest)
    {
        return {claim_state::mismatched, existing};
    }
    const bool finished = existing.answer.has_value();
    return {finished ? claim_state::finished : claim_state::running, existing};
}

void claim_table::finish(const request_key& key, const final_answer& answer)
{
    shard& owning_shard = shard_of(key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.claims.find(map_key_of(key));
    if (found == owning_shard.claims.end())
    {
        return;
    }
    bytes_ -= memory_of(found->second);
    found->second.answer = answer;
    bytes_ += memory_of(found->second);
}

void claim_table::withdraw(const request_key& key)
{
    shard& owning_shard = shard_of(key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.claims.find(map_key_of(key));
    if (found == owning_shard.claims.end() || found->second.answer)
    {
        return;
    }
    bytes_ -= memory_of(found->second);
    owning_shard.claims.erase(found);
}

void claim_table::merge(const claim& received)
{
    shard& owning_shard = shard_of(received.key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto [entry, inserted] =
        owning_shard.claims.emplace(map_key_of(received.key), received);
    if (inserted)
    {
        bytes_ += memory_of(received);
        return;
    }
    if (entry->second.answer || !received.answer)
    {
        return;
    }
    bytes_ -= memory_of(entry->second);
    entry->second = received;
    bytes_ += memory_of(received);
}

void claim_table::expire(wall_time now)
{
    for (shard& each : shards_)
    {
        const std::lock_guard<std::mutex> lock(each.mutex);
        for (auto entry = each.claims.begin(); entry != each.claims.end();)
        {
            const claim& stored = entry->second;
            if (!stored.answer || stored.issued_at + lifetime_ >= now)
            {
                ++entry;
                continue;
            }
            bytes_ -= memory_of(stored);
            entry = each.claims.erase(entry);
        }
    }
}

std::size_t claim_table::size() const
{
    std::size_t total = 0;
    for (const shard& each : shards_)
    {
        const std::lock_guard<std::mutex> lock(each.mutex);
        total += each.claims.size();
    }
    return total;
}

byte_count claim_table::bytes() const
{
    return byte_count(bytes_.load());
}

} // namespace medlar
