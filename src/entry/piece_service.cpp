#include <medlar/detail/dispatch/target_selection.hpp>
#include <medlar/detail/entry/piece_service.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <xxhash.h>

#include <algorithm>

namespace medlar
{

namespace
{

// how long a target that was full gets no call: the shortest time of other hosts' calls
constexpr millis busy_target_pause{100};

// how long a target gets no call after it failed one
constexpr millis failed_target_pause{700};

// frees are batched, since the cost of a call far exceeds that of its few bytes
constexpr millis free_batch_delay{20};
constexpr std::size_t max_free_batch = 48;

// a free call takes the time of its answer on the wire, longer behind a call that is
// worked on
constexpr millis free_call_timeout{5000};

// answers of a target that are compared with its next ones, see is_copy(); more than it
// gives in a minute
constexpr std::size_t remembered_answers = 512;

// how often a queue is checked while its targets are paused
constexpr millis pump_interval{50};

// a call is cancelled after this multiple of its overdue time, to reuse its slot
constexpr int give_up_factor = 4;

constexpr millis target_connect_timeout{400};

// a full call is answered with about 6 kB; a longer answer is not one
constexpr std::size_t max_piece_answer_bytes = 1048576;

std::uint64_t hash_key(const std::string& key)
{
    return XXH3_64bits(key.data(), key.size());
}

/// returns the first result that was made; no two answers name the same one, unless one
/// is a copy of the other
std::vector<piece_result>::const_iterator
find_made(const std::vector<piece_result>& results)
{
    return std::find_if(results.begin(),
                        results.end(),
                        [](const piece_result& each)
                        {
                            return each.handle.has_value();
                        });
}

} // namespace

piece_service::group_state& piece_service::state_of(const piece_group& group)
{
    const pool_rule* const pool =
        context_.configuration ? context_.configuration->find_pool(group.pool) : nullptr;
    const piece_rule rule =
        pool != nullptr && pool->pieces ? *pool->pieces : piece_rule{};
    std::unique_ptr<group_state>& state = groups_[group];
    if (!state)
    {
        state = std::make_unique<group_state>(rule);
    }
    state->queue.set_rule(rule);
    return *state;
}

void piece_service::refresh_targets(const piece_group& group,
                                    group_state& state,
                                    bool is_for_sending)
{
    std::vector<piece_target> targets;
    const bool takes_all = is_whole_pool(group, context_.targets);
    for (const target_state* each : context_.targets.of_pool(group.pool))
    {
        const skip_reason why =
            reason_not_in_use(*each, group, takes_all, context_.loop.now());
        if (why == skip_reason::none &&
            (!is_for_sending || may_send_to(group, state, *each)))
        {
            targets.push_back(
                {each->record.id, each->record.address, each->record.domain});
        }
    }
    state.queue.set_targets(targets);
}

job_decision piece_service::evaluate(const piece_group& group, piece_job& job)
{
    group_state& state = state_of(group);
    refresh_targets(group, state, false);
    const steady_time now = context_.loop.now();
    millis time_since_refusal{0};
    if (job.is_refusable && !job.key.empty())
    {
        time_since_refusal = state.refusals.time_since_refusal(hash_key(job.key), now);
        job.soft_deadline = job.soft_deadline - time_since_refusal;
    }
    job_decision decision = state.queue.evaluate(job, now);
    decision.time_since_refusal = time_since_refusal;
    if (!decision.accepted)
    {
        decision.retry_after =
            std::max(decision.retry_after, context_.time_until_callable(group.pool));
    }
    return decision;
}

void piece_service::record_refusal(const piece_group& group, const std::string& key)
{
    state_of(group).refusals.record_refusal(hash_key(key), context_.loop.now());
}

job_ticket
piece_service::add(const piece_group& group, piece_job job, job_callbacks callbacks)
{
    group_state& state = state_of(group);
    const job_id id = state.queue.add(std::move(job), context_.loop.now());
    state.callbacks.emplace(id, std::move(callbacks));
    schedule_pump(group);
    return {group, id};
}

void piece_service::cancel(const job_ticket& ticket)
{
    const auto found = groups_.find(ticket.group);
    if (found != groups_.end())
    {
        found->second->queue.cancel(ticket.job);
        found->second->callbacks.erase(ticket.job);
    }
}

bool piece_service::is_waiting(const job_ticket& ticket) const
{
    const auto found = groups_.find(ticket.group);
    return found != groups_.end() && found->second->queue.is_waiting(ticket.job);
}

bool piece_service::may_send_to(const piece_group& group,
                                const group_state& state,
                                const target_state& target)
{
    const std::size_t running = static_cast<std::size_t>(
        std::count_if(sent_calls_.begin(),
                      sent_calls_.end(),
                      [&target](const std::shared_ptr<sent_call>& each)
                      {
                          return each->target == target.record.id;
                      }));
    const bool is_wanted = state.queue.waiting_pieces() > 0 && running == 0;
    return permits_.may_send(target,
                             is_wanted,
                             [this, group]
                             {
                                 schedule_pump(group);
                             });
}

void piece_service::schedule_pump(const piece_group& group)
{
    group_state& state = *groups_.at(group);
    if (state.pump_pending)
    {
        return;
    }
    // after the current events, so that pieces that arrive together are sent together
    state.pump_pending = true;
    context_.loop.after(millis(0),
                        [this, group]
                        {
                            groups_.at(group)->pump_pending = false;
                            pump(group);
                        });
}

void piece_service::pump(const piece_group& group)
{
    group_state& state = state_of(group);
    const steady_time now = context_.loop.now();
    refresh_targets(group, state, true);
    deliver(state, state.queue.expire(now));
    while (const std::optional<piece_call> call = state.queue.next_call(now))
    {
        send(group, *call);
        const target_state* const target = context_.targets.find(call->target.id);
        if (target != nullptr &&
            (!may_call(*target, now) || limits_.needs_early_permit(*target)))
        {
            // it has used up its limit, or its permit
            refresh_targets(group, state, true);
        }
    }
    context_.loop.cancel(state.retry_timer);
    if (state.queue.waiting_pieces() > 0)
    {
        state.retry_timer = context_.loop.after(pump_interval,
                                                [this, group]
                                                {
                                                    pump(group);
                                                });
    }
}

void piece_service::send(const piece_group& group, const piece_call& call)
{
    target_state* const target = context_.targets.find(call.target.id);
    const steady_time permit_until = permits_.take(call.target.id);
    if (target != nullptr && target->rate_limit && !limits_.cold().rate_of(*target))
    {
        limits_.take_permit(*target);
    }
    auto sent = std::make_shared<sent_call>();
    sent->group = group;
    sent->id = call.id;
    sent->target = call.target.id;
    if (target != nullptr)
    {
        sent->process = process_of(*target);
    }
    sent->where = call.target.where;
    sent->pieces = call.items.size();
    sent->sent_at = context_.loop.now();
    sent_calls_.insert(sent);
    // the call owns its callbacks, so they must not own what owns the call
    const std::weak_ptr<sent_call> weak = sent;
    call_callbacks events;
    events.on_head = [this, weak](const answer_head& head)
    {
        if (const auto current = weak.lock())
        {
            current->status = head.status;
            paths_.record_contact(current->group.pool);
            const bool is_stated = current->call->process_start().has_value();
            context_.record_target_answer(
                context_.targets.leaving_process(current->process, is_stated),
                context_.protocol.read_answer(head));
        }
    };
    events.on_data = [this, weak](absl::string_view data)
    {
        if (const auto current = weak.lock())
        {
            append_answer(current, data);
        }
    };
    events.on_end = [this, weak](call_end how)
    {
        if (const auto current = weak.lock())
        {
            handle_call_end(current, how);
        }
    };
    paths_.record_call(group.pool);
    call_options options;
    options.connect_timeout = target_connect_timeout;
    if (target != nullptr)
    {
        permits_.prepare_call(*target, permit_until, options, events);
    }
    const std::uint64_t opened_before = context_.client.opened_connections();
    if (events.accepts_start)
    {
        events.accepts_start =
            [this, weak, accepts = events.accepts_start](const start_answer& answer)
        {
            const bool is_accepted = accepts(answer);
            if (const auto current = weak.lock())
            {
                current->process = context_.targets.process_reached(
                    current->process, answer.started_ms, current->is_new_connection);
            }
            return is_accepted;
        };
    }
    sent->call = context_.client.start(
        call.target.where,
        context_.protocol.write_piece_call(call.target.where, call.target.id, call.items),
        options,
        std::move(events));
    sent->is_new_connection = context_.client.opened_connections() != opened_before;
    sent->process = context_.targets.process_reached(
        sent->process, sent->call->process_start(), false);
    start_timers(sent, call.overdue_after);
    context_.metrics->add("medlar_piece_calls_total", {{"pool", group.pool.get()}});
    context_.metrics->add("medlar_pieces_sent_total",
                          {{"pool", group.pool.get()}},
                          static_cast<double>(call.items.size()));
}

void piece_service::start_timers(const std::shared_ptr<sent_call>& call,
                                 millis overdue_after)
{
    const std::weak_ptr<sent_call> weak = call;
    call->overdue_timer = context_.loop.after(
        overdue_after,
        [this, weak]
        {
            const auto current = weak.lock();
            if (!current)
            {
                return;
            }
            groups_.at(current->group)
                ->queue.handle_overdue(current->id, context_.loop.now());
            context_.record_target_call(current->process, call_result::timed_out);
            schedule_pump(current->group);
        });
    call->give_up_timer =
        context_.loop.after(overdue_after * give_up_factor,
                            [this, weak]
                            {
                                if (const auto current = weak.lock())
                                {
                                    give_up(current, call_end::no_answer);
                                }
                            });
}

bool piece_service::is_copy(const target_id& target,
                            const std::vector<piece_result>& results)
{
    const auto first_made = find_made(results);
    if (first_made == results.end())
    {
        return false;
    }
    std::deque<std::uint64_t>& seen = answers_by_target_[target];
    const std::uint64_t hash = hash_key(first_made->handle->get());
    if (std::find(seen.begin(), seen.end(), hash) != seen.end())
    {
        return true;
    }
    seen.push_back(hash);
    if (seen.size() > remembered_answers)
    {
        seen.pop_front();
    }
    return false;
}

void piece_service::append_answer(const std::shared_ptr<sent_call>& call,
                                  absl::string_view data)
{
    call->body.append(data.data(), data.size());
    if (call->body.size() > max_piece_answer_bytes)
    {
        give_up(call, call_end::malformed);
    }
}

void piece_service::give_up(const std::shared_ptr<sent_call>& call, call_end how)
{
    call->call->cancel();
    handle_call_end(call, how);
}

void piece_service::handle_call_end(const std::shared_ptr<sent_call>& call, call_end how)
{
    // the call may still be in one of its callbacks
    context_.loop.after(millis(0), [ended = call->call] {});
    sent_calls_.erase(call);
    context_.loop.cancel(call->overdue_timer);
    context_.loop.cancel(call->give_up_timer);
    group_state& state = *groups_.at(call->group);
    const steady_time now = context_.loop.now();
    bool is_repeated = false;
    if (how == call_end::complete && call->status == status_ok)
    {
        const absl::StatusOr<std::vector<piece_result>> results =
            context_.protocol.read_piece_answer(call->body);
        is_repeated = results.ok() && is_copy(call->target, *results);
        if (results.ok() && results->size() == call->pieces && !is_repeated)
        {
            handle_results(*call, *results, state);
            return;
        }
        how = is_repeated ? call_end::malformed : how;
    }
    const bool full = how == call_end::complete && call->status == status_unavailable;
    const bool is_declined = how == call_end::declined;
    if (!is_declined)
    {
        // the answer may be the copy of an earlier one: the call's own would then be
        // taken for that of the next call
        context_.client.close_idle(call->where);
    }
    log_event(entry_piece_call_failed,
              {{"pool", call->group.pool.get()},
               {"target", call->target.get()},
               {"status", std::int64_t{call->status}},
               {"end", to_string(how)},
               {"pieces", static_cast<std::int64_t>(call->pieces)}});
    if (!full && !is_declined)
    {
        context_.record_target_call(call->process, call_result::failed);
    }
    const target_state* const target = context_.targets.find(call->target);
    const bool is_refused =
        full || (how == call_end::complete && call->status == status_too_many);
    if (is_refused && target != nullptr && target->refusal_limit)
    {
        context_.record_refusal(call->target);
    }
    if (call->status == 0 && !is_declined)
    {
        paths_.record_failure(call->group.pool, call->target, how != call_end::not_sent);
    }
    context_.metrics->add("medlar_piece_calls_failed_total",
                          {{"pool", call->group.pool.get()}, {"full", full ? "1" : "0"}});
    // a target that has sent a copy works on the call, and may take the next one
    const millis pause = is_declined || is_repeated ? millis(0)
                         : full                     ? busy_target_pause
                                                    : failed_target_pause;
    state.queue.handle_failure(call->id, now, pause);
    schedule_pump(call->group);
}

void piece_service::handle_results(const sent_call& call,
                                   const std::vector<piece_result>& results,
                                   group_state& state)
{
    const bool all_failed =
        std::all_of(results.begin(),
                    results.end(),
                    [](const piece_result& each)
                    {
                        return !each.handle && each.failure == piece_failure::failed;
                    });
    context_.record_target_call(
        call.process, all_failed ? call_result::failed : call_result::succeeded);
    log_answer(call, results, state.queue);
    if (find_made(results) == results.end())
    {
        // it may be a copy, or a copy of it may follow; neither can be recognised, and
        // each later answer on the connection would be taken for that of the next call
        context_.client.close_idle(call.where);
    }
    deliver(state, state.queue.handle_results(call.id, results, context_.loop.now()));
    schedule_pump(call.group);
}

void piece_service::log_answer(const sent_call& call,
                               const std::vector<piece_result>& results,
                               const piece_queue& queue) const
{
    std::int64_t made = 0;
    std::int64_t no_room = 0;
    std::int64_t input_gone = 0;
    for (const piece_result& each : results)
    {
        made += each.handle ? 1 : 0;
        no_room +=
            !each.handle && each.failure == piece_failure::no_result_memory ? 1 : 0;
        input_gone += !each.handle && each.failure == piece_failure::input_gone ? 1 : 0;
    }
    log_event(entry_piece_call_ended,
              {{"pool", call.group.pool.get()},
               {"group", call.group.domain},
               {"target", call.target.get()},
               {"pieces", static_cast<std::int64_t>(call.pieces)},
               {"made", made},
               {"no_room", no_room},
               {"input_gone", input_gone},
               {"took_ms", (context_.loop.now() - call.sent_at).count()},
               {"waiting", static_cast<std::int64_t>(queue.waiting_pieces())}});
}

void piece_service::deliver(group_state& state,
                            const std::vector<finished_piece>& finished)
{
    for (const finished_piece& each : finished)
    {
        const auto callbacks = state.callbacks.find(each.job);
        if (callbacks == state.callbacks.end())
        {
            if (each.result.handle)
            {
                free({*each.result.handle});
            }
            continue;
        }
        // the callback may cancel its job
        const auto on_piece = callbacks->second.on_piece;
        on_piece(each.piece, each.result);
    }
    for (const finished_piece& each : finished)
    {
        if (!state.queue.contains(each.job))
        {
            state.callbacks.erase(each.job);
        }
    }
}

void piece_service::free(const std::vector<result_handle>& handles)
{
    for (const result_handle& each : handles)
    {
        const absl::StatusOr<endpoint> holder = context_.protocol.holder_of(each);
        if (!holder.ok())
        {
            log_event(entry_item_unreadable,
                      {{"what", "result handle"}, {"why", holder.status().message()}});
            continue;
        }
        to_free_[*holder].push_back(each);
        for (auto& group : groups_)
        {
            group.second->queue.release_result(each, context_.loop.now());
        }
    }
    if (!flush_pending_ && !to_free_.empty())
    {
        flush_pending_ = true;
        context_.loop.after(free_batch_delay,
                            [this]
                            {
                                flush_pending_ = false;
                                flush_frees();
                            });
    }
}

void piece_service::flush_frees()
{
    std::map<endpoint, std::vector<result_handle>> all;
    all.swap(to_free_);
    call_options options;
    options.connect_timeout = target_connect_timeout;
    std::vector<std::shared_ptr<client_call>> calls;
    for (const auto& each : all)
    {
        const target_state* const holder = context_.targets.find_by_address(each.first);
        if (holder != nullptr && holder->rate_limit)
        {
            // it drops the results when they expire; its calls are left for pieces
            continue;
        }
        for (std::size_t at = 0; at < each.second.size(); at += max_free_batch)
        {
            const auto begin = each.second.begin() + static_cast<std::ptrdiff_t>(at);
            const auto end = begin + static_cast<std::ptrdiff_t>(std::min(
                                         max_free_batch, each.second.size() - at));
            // if a free call fails, the holder drops the result when it expires
            calls.push_back(context_.client.start(
                each.first,
                context_.protocol.write_free_call(each.first,
                                                  std::vector<result_handle>(begin, end)),
                options,
                {}));
        }
    }
    // an answer that never ends must not keep a connection
    context_.loop.after(free_call_timeout,
                        [calls = std::move(calls)]
                        {
                            for (const std::shared_ptr<client_call>& each : calls)
                            {
                                each->cancel();
                            }
                        });
}

bool piece_service::has_unfinished_jobs() const
{
    return std::any_of(groups_.begin(),
                       groups_.end(),
                       [](const auto& each)
                       {
                           return each.second->queue.has_unfinished_jobs();
                       });
}

std::pair<std::size_t, std::size_t> piece_service::load() const
{
    std::pair<std::size_t, std::size_t> sum{0, 0};
    for (const auto& each : groups_)
    {
        sum.first += each.second->queue.waiting_pieces();
        sum.second += each.second->queue.call_count();
    }
    return sum;
}

} // namespace medlar
