#ifndef MEDLAR_DETAIL_DISPATCH_SLOW_START_ISSUER_HPP
#define MEDLAR_DETAIL_DISPATCH_SLOW_START_ISSUER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/slow_start.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Question of a host for slots of a target in slow start
struct slot_question
{
    target_id target;
    /// start of the process that the host knows at the target, Unix time in ms
    std::int64_t started_ms = 0;
    /// calls that the target executes at the same time
    int target_slots = 1;
    int wanted = 1;
    /// time since the host last knew the target to be out of service or cold
    millis age{0};
};

/// @brief Answer to a question for slots
struct slot_grant
{
    std::vector<std::uint64_t> slots;
    /// time until it is worth asking again, if no slot was granted
    millis wait{0};
    /// the target takes calls without slots
    bool has_ended = false;
};

/// @brief A slow start that has ended
struct ended_slow_start
{
    target_id target;
    /// whether the target sustains its full number of slots; otherwise it was neither
    /// slow nor failing for some time, at a load that does not use the window up
    bool is_sustained = false;
    millis took{0};
    std::int64_t granted = 0;
    std::int64_t refused = 0;
};

/// @brief Keeps the windows of the targets for which a host is the issuer, and lends
/// their slots to hosts.
///
/// A slot counts as a call in progress from the time it is granted. A host tells within
/// slot_renewal_interval that it still has it; one that is not renewed is free again, so
/// that a lost message or host takes a slot of the window for seconds only.
class slow_start_issuer
{
  public:
    /// @param first_slot number of the first slot; random, so that a slot of an issuer
    /// before is not taken for one of this one
    explicit slow_start_issuer(std::uint64_t first_slot) : last_slot_(first_slot)
    {
    }

    /// @brief Grants slots to a host, and begins a slow start if none is in progress.
    slot_grant grant(const slot_question& question, steady_time now);

    /// @brief Records how the target has begun to answer a call that goes on.
    void record_answer(const target_id& target,
                       std::uint64_t slot,
                       slow_start_result result,
                       steady_time now);

    /// @brief Takes a slot back; does nothing if it is not known.
    void end(const target_id& target,
             std::uint64_t slot,
             slow_start_result result,
             steady_time now);

    /// @brief Records that a host still has a slot.
    void renew(const target_id& target, std::uint64_t slot, steady_time now);

    /// @brief Takes back the slots that were not renewed; called regularly.
    /// @return the slow starts that have ended since the last call
    std::vector<ended_slow_start> tick(steady_time now);

    /// @brief Returns the number of calls that all windows allow together.
    int window_sum() const;

  private:
    struct kept_window
    {
        explicit kept_window(const slot_question& question, steady_time now)
            : window(question.target_slots, now),
              begun_at(now),
              troubled_at(now),
              started_ms(question.started_ms)
        {
        }

        slow_start_window window;
        steady_time begun_at;
        /// when it was last slow or failed
        steady_time troubled_at;
        std::int64_t started_ms;
        std::optional<steady_time> ended_at;
        bool is_reported = false;
        std::int64_t granted = 0;
        std::int64_t refused = 0;
        /// refusals in this second and in the one before
        steady_time second_begun;
        int refused_now = 0;
        int refused_before = 0;
        std::map<std::uint64_t, steady_time> renewed_at;
    };

    kept_window* find(const target_id& target);
    static void note(kept_window& kept, slow_start_result result, steady_time now);
    /// when a host that is refused may ask again
    static millis wait_of_refused(kept_window& kept, steady_time now);
    static void drop_unrenewed(kept_window& kept, steady_time now);

    std::map<target_id, kept_window> windows_;
    std::uint64_t last_slot_;
};

/// @brief A host tells at this interval which slots it still has.
constexpr millis slot_renewal_interval{1000};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_SLOW_START_ISSUER_HPP
