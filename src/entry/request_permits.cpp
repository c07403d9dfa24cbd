// Part of request_run: asks for permits for targets with a limit, for cold ones and for
// those that tolerate few more refusals.

#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/log/entry_events.hpp>

namespace medlar
{

namespace
{

// Permits for cold targets that a request is refused before it leaves these targets out:
// when a whole failure domain returns, asking for one after the other takes longer than
// the request can wait.
constexpr int max_cold_refusals = 2;

// time that is left of a permit when its request is sent; opening a connection takes less
// than 5 ms unless packets are lost
constexpr millis min_connect_time{50};

} // namespace

bool request_run::needs_permit(const target_state& target) const
{
    return target.rate_limit.has_value() || limits_.needs_early_permit(target);
}

bool request_run::is_left_out_as_cold(const target_state& target) const
{
    return cold_refusals_ >= max_cold_refusals &&
           limits_.cold().rate_of(target).has_value();
}

bool request_run::has_valid_permit(const target_state& target, millis spare) const
{
    return !limits_.cold().rate_of(target) ||
           context_.loop.now() + spare <= cold_permit_until_;
}

void request_run::send_with_permit(const target_id& id)
{
    const target_state* const asked = context_.targets.find(id);
    const bool is_cold = asked != nullptr && limits_.cold().rate_of(*asked).has_value();
    const std::weak_ptr<request_run> weak = weak_from_this();
    limits_.request_permit(
        id,
        [weak, id, is_cold, asked_at = context_.loop.now(), &targets = context_.targets](
            bool is_granted)
        {
            const auto self = weak.lock();
            if (self && !self->ended_)
            {
                self->cold_permit_until_ =
                    is_cold ? asked_at + cold_permit_validity : steady_time();
                self->on_permit_answer(id, is_granted, is_cold);
            }
            else if (target_state* const target = targets.find(id))
            {
                target->health = cancel_probe(target->health);
            }
        });
}

void request_run::on_permit_answer(const target_id& id, bool is_granted, bool is_cold)
{
    target_state* const target = context_.targets.find(id);
    if (is_granted && target != nullptr && takes_work(*target) && may_run_at(*target) &&
        has_valid_permit(*target, min_connect_time))
    {
        send_to(*target);
        return;
    }
    if (is_cold)
    {
        ++cold_refusals_;
    }
    if (target != nullptr)
    {
        target->health = cancel_probe(target->health);
    }
    send();
}

void request_run::limit_connect_time(const target_state& target,
                                     call_options& options) const
{
    if (limits_.cold().rate_of(target))
    {
        options.connect_timeout =
            std::min(options.connect_timeout, cold_permit_until_ - context_.loop.now());
    }
}

bool request_run::accepts_process(const start_answer& answer)
{
    const bool is_right = is_stream() && route_.may_retry() ? accepts_start(answer)
                                                            : accepts_any_start(answer);
    record_process(answer.started_ms);
    const target_state* const target = context_.targets.find(target_);
    if (is_right && target != nullptr && !has_valid_permit(*target, millis(0)))
    {
        is_declined_as_cold_ = true;
        return false;
    }
    return is_right;
}

} // namespace medlar
