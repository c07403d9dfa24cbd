#ifndef MEDLAR_DETAIL_OWNERSHIP_CLAIM_TABLE_HPP
#define MEDLAR_DETAIL_OWNERSHIP_CLAIM_TABLE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/cluster/view.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlar
{

/// @brief 128-bit digest of a request body; detects a request id that is reused with
/// another body
struct body_digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const body_digest& a, const body_digest& b)
    {
        return a.high == b.high && a.low == b.low;
    }

    friend bool operator!=(const body_digest& a, const body_digest& b)
    {
        return !(a == b);
    }
};

/// @brief Returns the 128-bit digest of a request body.
body_digest digest_of(absl::string_view body);

/// @brief complete answer to a request
struct final_answer
{
    outcome result;
    /// JSON text of the pipeline's output; empty unless answered
    std::string output;
    /// JSON text: for each stage, where it ran and for how long
    std::string trace;
};

/// @brief record of an accepted request that is running or finished
struct claim
{
    request_key key;
    body_digest digest;
    wall_time issued_at;
    /// the process that runs or ran it
    incarnation runner;
    /// unset while the request is running
    std::optional<final_answer> answer;
};

/// @brief result of claim_table::open()
enum class claim_state
{
    opened,    ///< the key had no claim; the caller now runs the request
    running,   ///< the same request is running
    finished,  ///< the same request has its final answer
    mismatched ///< the key is in use for a request with another body
};

/// @brief state of a claim and a copy of it, as returned by claim_table::open()
struct claim_lookup
{
    claim_state state = claim_state::opened;
    claim found;
};

/// @brief Table of the claims of one process, sharded by key; each shard has its own
/// lock.
///
/// A finished claim is kept for a lifetime that counts from the issue of its request.
/// Memory is bounded: when the table is full, new claims are refused; no claim is evicted
/// early.
class claim_table
{
  public:
    /// @param lifetime how long a finished claim is kept, counted from the issue of the
    ///     request
    /// @param max_bytes limit on the memory of all claims (see bytes())
    static std::unique_ptr<claim_table> create(millis lifetime, byte_count max_bytes);

    /// @brief Returns a copy of the claim of a key, or nothing if it has none.
    std::optional<claim> find(const request_key& key) const;

    /// @brief Returns whether the memory in use is below the limit.
    bool has_capacity() const;

    /// @brief Inserts a claim unless the key has one; returns the claim of the key.
    claim_lookup open(const claim& fresh);

    /// @brief Stores the answer of a claim; notifies no waiting caller.
    void finish(const request_key& key, const final_answer& answer);

    /// @brief Removes a running claim. Only for requests that certainly did not run.
    void withdraw(const request_key& key);

    /// @brief Merges a claim received from another home. A finished claim replaces a
    /// running one; a claim that has an answer is never changed.
    void merge(const claim& received);

    /// @brief Returns copies of all claims whose key hash satisfies @p selected.
    template <typename Predicate>
    std::vector<claim> select(Predicate selected) const
    {
        std::vector<claim> found;
        for (const shard& each : shards_)
        {
            const std::lock_guard<std::mutex> lock(each.mutex);
            for (const auto& [hash, stored] : each.claims)
            {
                if (selected(hash_of(stored.key)))
                {
                    found.push_back(stored);
                }
            }
        }
        return found;
    }

    /// @brief Removes the finished claims whose lifetime has ended.
    void expire(wall_time now);

    /// @brief Returns the number of claims.
    std::size_t size() const;

    /// @brief Returns the memory of keys, answers and their overhead.
    byte_count bytes() const;

  private:
    claim_table(millis lifetime, byte_count max_bytes);

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, claim> claims;
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const request_key& key);
    const shard& shard_of(const request_key& key) const;

    millis lifetime_;
    byte_count max_bytes_;
    std::array<shard, shard_count> shards_;
    std::atomic<std::int64_t> bytes_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OWNERSHIP_CLAIM_TABLE_HPP
