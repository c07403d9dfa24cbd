#include <medlar/detail/ownership/claim_table.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace medlar
{

namespace
{

/// @brief memory of one claim beside its texts: hash node, strings' headers, lock share
constexpr std::size_t claim_overhead_bytes = 320;

std::string name_of(const request_key& key)
{
    return absl::StrCat(key.organisation.get(), "/", key.id.get());
}

std::int64_t size_of(const claim& one)
{
    std::size_t size = claim_overhead_bytes + 2 * name_of(one.key).size();
    if (one.answer)
    {
        size += one.answer->output.size() + one.answer->trace.size();
        size += one.answer->result.message.size();
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
    const shard& home = shard_of(key);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.claims.find(name_of(key));
    if (found == home.claims.end())
    {
        return std::nullopt;
    }
    return found->second;
}

bool claim_table::has_room() const
{
    return bytes_.load() < max_bytes_.get();
}

claim_lookup claim_table::open(const claim& fresh)
{
    shard& home = shard_of(fresh.key);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto [entry, inserted] = home.claims.emplace(name_of(fresh.key), fresh);
    if (inserted)
    {
        bytes_ += size_of(fresh);
        return {claim_state::opened, fresh};
    }
    const claim& present = entry->second;
    if (present.digest != fresh.digest)
    {
        return {claim_state::mismatched, present};
    }
    const bool finished = present.answer.has_value();
    return {finished ? claim_state::finished : claim_state::running, present};
}

void claim_table::finish(const request_key& key, const final_answer& answer)
{
    shard& home = shard_of(key);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.claims.find(name_of(key));
    if (found == home.claims.end())
    {
        return;
    }
    bytes_ -= size_of(found->second);
    found->second.answer = answer;
    bytes_ += size_of(found->second);
}

void claim_table::withdraw(const request_key& key)
{
    shard& home = shard_of(key);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.claims.find(name_of(key));
    if (found == home.claims.end() || found->second.answer)
    {
        return;
    }
    bytes_ -= size_of(found->second);
    home.claims.erase(found);
}

void claim_table::merge(const claim& received)
{
    shard& home = shard_of(received.key);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto [entry, inserted] = home.claims.emplace(name_of(received.key), received);
    if (inserted)
    {
        bytes_ += size_of(received);
        return;
    }
    if (entry->second.answer || !received.answer)
    {
        return;
    }
    bytes_ -= size_of(entry->second);
    entry->second = received;
    bytes_ += size_of(received);
}

void claim_table::expire(wall_time now)
{
    for (shard& each : shards_)
    {
        const std::lock_guard<std::mutex> lock(each.mutex);
        for (auto entry = each.claims.begin(); entry != each.claims.end();)
        {
            const claim& one = entry->second;
            if (!one.answer || one.issued_at + lifetime_ >= now)
            {
                ++entry;
                continue;
            }
            bytes_ -= size_of(one);
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
