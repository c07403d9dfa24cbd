#ifndef MEDLAR_DETAIL_DISPATCH_SLOW_START_SHARE_HPP
#define MEDLAR_DETAIL_DISPATCH_SLOW_START_SHARE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/cold_target.hpp>
#include <medlar/detail/dispatch/slow_start_issuer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief A slot of a target that a host has got from the issuer
struct lent_slot
{
    std::uint64_t number = 0;
    host_id issuer;
};

/// @brief What one host may send to a target in slow start.
///
/// The host asks for slots when its requests miss them, and its next requests use them:
/// no request waits for the answer while another target can take it. Without an answer of
/// the issuer the host sends one call at a time.
class slow_start_share
{
  public:
    explicit slow_start_share(steady_time now) : out_at_(now), told_at_(now)
    {
    }

    /// @brief Records that the target is still out of service or cold.
    void record_out(steady_time now);

    /// @brief Returns whether the host has no reason any more to limit its calls.
    bool has_ended(steady_time now) const;

    /// @brief Returns whether a call may be sent now.
    /// @param in_flight calls of this host in progress at the target
    bool may_send(int in_flight, steady_time now) const;

    /// @brief Returns whether the host has a slot that it does not use yet.
    bool holds_slot(steady_time now) const;

    /// @brief Records that a request has missed a slot.
    /// @return whether the issuer is to be asked
    bool record_missed(steady_time now);

    /// @brief Returns whether an answer of the issuer is waited for, or it may be asked.
    bool may_be_granted(steady_time now) const;

    /// @brief Returns the number of slots to ask for, and waits for the answer.
    int begin_question();

    /// @brief Returns the time since the target was last known to be out.
    millis age(steady_time now) const
    {
        return now - out_at_;
    }

    void record_grant(const slot_grant& granted, const host_id& issuer, steady_time now);

    /// @brief Records that the issuer has not answered.
    void record_silence(steady_time now);

    /// @brief Takes a slot for a call; unset if it is sent without one.
    std::optional<lent_slot> take(steady_time now);

    /// @brief Returns the slots that were not used in time and go back to their issuers.
    std::vector<lent_slot> drop_unused(steady_time now);

    /// @brief Returns the slots that are held for the next calls.
    std::vector<lent_slot> held() const;

  private:
    struct held_slot
    {
        lent_slot slot;
        steady_time until;
    };

    std::vector<held_slot> held_;
    steady_time out_at_;
    /// when the issuer last said that the slow start goes on
    steady_time told_at_;
    /// the issuer has refused
    steady_time ask_from_;
    /// the issuer is silent
    steady_time alone_until_;
    int silent_in_row_ = 0;
    bool is_asking_ = false;
    bool is_told_of_end_ = false;
    int missed_ = 0;
};

/// @brief Returns whether a target that gets no calls, or fewer, for a while is in slow
/// start afterwards.
///
/// Permits bound what cold targets get after a start. A limit that follows them made
/// callers wait for targets that were not overloaded (docs/design/slow-start.md).
/// @param is_failure whether calls to the target have failed
bool begins_slow_start(const cold_rule& rule, bool is_failure);

/// @brief Returns whether the calls to the targets in slow start of a pool are limited.
///
/// If most of a pool has started at once, limits would leave its requests nowhere to go,
/// and send prompts to engines that do not have them in their caches.
/// @param others targets that take work and are not in slow start
bool is_slow_start_limited(std::size_t in_slow_start, std::size_t others);

/// @brief an answer of the issuer that comes later is not waited for
constexpr millis slot_answer_timeout{150};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_SLOW_START_SHARE_HPP
