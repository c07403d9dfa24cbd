#ifndef MEDLAR_DETAIL_DISPATCH_MEMORY_BUDGET_HPP
#define MEDLAR_DETAIL_DISPATCH_MEMORY_BUDGET_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace medlar
{

/// @brief What a connection holds memory for.
enum class memory_use
{
    incoming_body, ///< a body that is being received
    paused_body,   ///< a body whose receiving was stopped since memory is short
    unread_output, ///< output that waits for the peer to read
};

/// @brief A connection whose memory may be freed by ending it.
struct memory_holder
{
    memory_use use = memory_use::incoming_body;
    std::size_t bytes = 0;
    /// bytes that its body may still add
    std::size_t remaining = 0;
    /// whether the remaining bytes are set aside for it
    bool is_granted = false;
    /// when it last received anything or was paused, or since when its peer has read
    /// slower than the budget allows
    steady_time last_progress;
};

/// @brief What is done with holders, each named by its index.
struct memory_relief
{
    /// bodies that stalled, and output that is read too slowly
    std::vector<std::size_t> stalled;
    /// bodies refused although their clients do send
    std::vector<std::size_t> refused;
    /// paused bodies that go on, with all that they may add set aside for them
    std::vector<std::size_t> granted;
    /// paused bodies that go on, and are paused again once memory is short
    std::vector<std::size_t> resumed;
};

/// @brief Counts the bytes that a host holds for clients, targets and peers, and decides
/// who waits and who is ended when they come near a limit.
///
/// Counting is all that happens while memory suffices. Bodies are paused before anything
/// is ended. Stalled holders are ended first, those of the most bytes and the longest
/// stall before others; then bodies that have waited, the largest first.
class memory_budget
{
  public:
    /// @brief Sets the limit; there is none before.
    void set_limit(std::size_t bytes);

    /// @brief Sets the rate below which a peer that takes output counts as stalled.
    /// @param bytes_per_s with 0, only a peer that takes nothing counts
    void set_least_read_rate(std::uint64_t bytes_per_s)
    {
        least_read_rate_ = bytes_per_s;
    }

    std::uint64_t least_read_rate() const
    {
        return least_read_rate_;
    }

    std::size_t limit() const
    {
        return limit_;
    }

    std::size_t used() const
    {
        return used_;
    }

    void add(std::size_t bytes);

    void subtract(std::size_t bytes)
    {
        used_ -= bytes;
    }

    /// @brief Returns whether memory is short, so that holders should take less.
    bool is_short() const
    {
        return used_ > short_mark_;
    }

    bool is_full() const
    {
        return used_ > limit_;
    }

    /// @brief Returns whether an incomplete body may be received further.
    /// @param body_bytes size of its part received so far
    bool may_receive(std::size_t body_bytes) const;

    /// @brief Decides which holders go on and which are ended.
    /// @param holders all connections whose ending frees memory
    memory_relief relieve(const std::vector<memory_holder>& holders,
                          steady_time now) const;

    /// @brief Returns whether so much was freed that it should be returned to the
    /// system, at most once a second.
    bool should_trim(steady_time now);

  private:
    std::size_t limit_ = SIZE_MAX;
    std::size_t short_mark_ = SIZE_MAX;
    std::size_t used_ = 0;
    std::uint64_t least_read_rate_ = 0;
    /// most bytes in use since memory was returned to the system
    std::size_t peak_ = 0;
    steady_time trimmed_at_;
};

/// @brief Bytes charged to a budget until its destruction.
class memory_charge
{
  public:
    memory_charge() = default;

    explicit memory_charge(std::shared_ptr<memory_budget> budget)
        : budget_(std::move(budget))
    {
    }

    ~memory_charge()
    {
        set(0);
    }

    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    /// @brief Names the budget; nothing may be charged yet.
    void set_budget(std::shared_ptr<memory_budget> budget)
    {
        budget_ = std::move(budget);
    }

    /// @brief Replaces the number of bytes charged.
    void set(std::size_t bytes)
    {
        if (budget_ && bytes > bytes_)
        {
            budget_->add(bytes - bytes_);
        }
        else if (budget_ && bytes < bytes_)
        {
            budget_->subtract(bytes_ - bytes);
        }
        bytes_ = bytes;
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

  private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t bytes_ = 0;
};

/// @brief Returns the budget of a host whose process may have @p memory_mb.
std::size_t budget_bytes_of(std::size_t memory_mb);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_MEMORY_BUDGET_HPP
