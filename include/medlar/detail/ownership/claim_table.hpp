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

/// @brief digest of what a caller asked for, to see an id used for something else
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

/// @brief the 128-bit digest of a request's body
body_digest digest_of(absl::string_view body);

/// @brief the whole answer to a request
struct final_answer
{
    outcome result;
    /// JSON text of the pipeline's output; empty unless answered
    std::string output;
    /// JSON text that tells which stage ran where and for how long
    std::string trace;
};

/// @brief One request that was accepted: running at a process, or finished.
struct claim
{
    request_key key;
    body_digest digest;
    wall_time issued_at;
    /// the process that runs or ran it
    incarnation runner;
    /// unset while it runs
    std::optional<final_answer> answer;
};

/// @brief what claim_table::open() found
enum class claim_state
{
    opened,    ///< there was none; the caller now owns the run
    running,   ///< the same request is running
    finished,  ///< the same request has its answer
    mismatched ///< the id was used with another body
};

/// @brief result of claim_table::open() and claim_table::find()
struct claim_lookup
{
    claim_state state = claim_state::opened;
    claim found;
};

/// @brief Claims of one process, in shards each under its own lock.
///
/// An answer is kept until its lifetime after the request's issue is over. Memory is
/// bounded: when the table is full, new claims are refused and none is dropped early.
class claim_table
{
  public:
    /// @param lifetime how long after its issue a finished claim is kept
    /// @param max_bytes bound on the memory of keys and answers
    static std::unique_ptr<claim_table> create(millis lifetime, byte_count max_bytes);

    /// @brief the claim of that key, if there is one
    std::optional<claim> find(const request_key& key) const;

    /// @brief whether a further claim fits
    bool has_room() const;

    /// @brief Opens a claim unless the key has one.
    claim_lookup open(const claim& fresh);

    /// @brief Stores the answer of a running claim; wakes no one.
    void finish(const request_key& key, const final_answer& answer);

    /// @brief Removes a claim whose request provably did not run.
    void withdraw(const request_key& key);

    /// @brief Adds a claim that another home held; an answer replaces "running", and
    /// never the other way round.
    void merge(const claim& received);

    /// @brief copies of all claims whose key hash satisfies @p selected
    template <typename Predicate>
    std::vector<claim> select(Predicate selected) const
    {
        std::vector<claim> found;
        for (const shard& each : shards_)
        {
            const std::lock_guard<std::mutex> lock(each.mutex);
            for (const auto& [hash, one] : each.claims)
            {
                if (selected(hash_of(one.key)))
                {
                    found.push_back(one);
                }
            }
        }
        return found;
    }

    /// @brief Removes finished claims whose lifetime is over.
    void expire(wall_time now);

    /// @brief number of claims
    std::size_t size() const;

    /// @brief memory of keys and answers
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
