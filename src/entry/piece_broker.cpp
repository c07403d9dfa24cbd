#include <medlar/detail/entry/piece_broker.hpp>
#include <medlar/detail/hosts/message_fields.hpp>

#include <xxhash.h>

#include <algorithm>

namespace medlar
{

namespace
{

// an owner answers a job at once; links have a latency of 1.4 ms, and an iteration of a
// busy host's event loop takes some tens of ms
constexpr millis acknowledgement_timeout{300};

// reassignments to other owners before this host executes the job itself
constexpr int max_reassignments = 2;

// hosts without a path that are asked to own a job before this host executes it itself:
// most learn sooner which of the others have one
constexpr int max_rejections = 8;

nlohmann::json job_message(std::uint64_t number,
                           const piece_group& group,
                           const piece_job& job,
                           const std::set<int>& pieces,
                           steady_time now)
{
    nlohmann::json inputs = nlohmann::json::array();
    for (const result_handle& each : job.inputs)
    {
        inputs.push_back(each.get());
    }
    return {{"type", "job"},
            {"number", number},
            {"pool", group.pool.get()},
            {"group", group.domain},
            {"attempt", job.attempt.get()},
            {"stage", job.stage},
            {"pieces", pieces},
            {"key", job.key},
            {"inputs", std::move(inputs)},
            {"priority", job.priority},
            {"aim_ms", (job.soft_deadline - now).count()},
            {"left_ms", (job.deadline - now).count()},
            {"domain", job.preferred_domain.get()},
            {"bytes", job.result_size.get()},
            {"moved", job.transfer_size.get()},
            {"first", job.is_refusable},
            {"background", job.is_background}};
}

piece_job read_job(const nlohmann::json& message, steady_time now)
{
    piece_job job;
    job.attempt = attempt_id(message.at("attempt").get<std::string>());
    job.stage = message.at("stage").get<std::size_t>();
    job.pieces = message.at("pieces").get<std::vector<int>>();
    job.key = message.at("key").get<std::string>();
    for (const nlohmann::json& each : message.at("inputs"))
    {
        job.inputs.emplace_back(each.get<std::string>());
    }
    job.priority = message.at("priority").get<int>();
    job.soft_deadline = now + read_span(message, "aim_ms");
    job.deadline = now + read_span(message, "left_ms");
    job.preferred_domain = failure_domain_id(message.at("domain").get<std::string>());
    job.result_size = byte_count(message.at("bytes").get<std::int64_t>());
    job.transfer_size = byte_count(message.at("moved").get<std::int64_t>());
    job.is_refusable = message.at("first").get<bool>();
    job.is_background = message.at("background").get<bool>();
    return job;
}

nlohmann::json piece_message(std::uint64_t number, int piece, const piece_result& result)
{
    nlohmann::json message{{"type", "piece"}, {"number", number}, {"piece", piece}};
    if (result.handle)
    {
        message["handle"] = result.handle->get();
    }
    else
    {
        message["failure"] = static_cast<int>(result.failure);
    }
    return message;
}

piece_result read_piece(const nlohmann::json& message)
{
    piece_result result;
    const auto handle = message.find("handle");
    if (handle != message.end())
    {
        result.handle = result_handle(handle->get<std::string>());
        return result;
    }
    const int failure = message.at("failure").get<int>();
    const bool known = failure >= static_cast<int>(piece_failure::late) &&
                       failure <= static_cast<int>(piece_failure::failed);
    result.failure = known ? static_cast<piece_failure>(failure) : piece_failure::failed;
    return result;
}

struct owner_answer
{
    int piece = 0;
    piece_result result;
    bool is_accepted = false;
    bool is_late = false;
    millis expected_time{0};
    millis growth{0};
    millis retry_after{0};
    millis time_since_refusal{0};
};

owner_answer read_answer(const std::string& type, const nlohmann::json& message)
{
    owner_answer answer;
    if (type == "piece")
    {
        answer.piece = message.at("piece").get<int>();
        answer.result = read_piece(message);
        return answer;
    }
    answer.is_accepted = message.at("accepted").get<bool>();
    if (type == "verdict")
    {
        answer.is_late = message.at("late").get<bool>();
        answer.expected_time = read_span(message, "expected_ms");
        answer.retry_after = read_span(message, "retry_ms");
        // hosts of an older version do not send it
        answer.growth =
            message.contains("growth_ms") ? read_span(message, "growth_ms") : millis(0);
        // hosts of an older version do not send it
        answer.time_since_refusal =
            message.contains("waited_ms") ? read_span(message, "waited_ms") : millis(0);
    }
    return answer;
}

} // namespace

piece_broker::piece_broker(entry_context& context,
                           peer_network& peers,
                           piece_service& service,
                           path_controller& paths)
    : context_(context), peers_(peers), service_(service), paths_(paths)
{
}

piece_broker::owned_group piece_broker::owner_for(const pool_id& pool,
                                                  const failure_domain_id& domain,
                                                  const std::string& key) const
{
    std::vector<failure_domain_id> domains;
    for (const target_state* each : context_.targets.serving(pool))
    {
        domains.push_back(each->record.domain);
    }
    const std::uint64_t spread =
        context_.targets.is_evacuated(domain) ? XXH3_64bits(key.data(), key.size()) : 0;
    const piece_group group = select_group(
        pool, domain, domains, max_targets_per_group(peers_.live_hosts()), spread);
    return {group, rank_owners(group, paths_.hosts_with_path(pool)).front()};
}

piece_broker::owned_group piece_broker::owner_of(const pool_id& pool,
                                                 const piece_job& job) const
{
    return owner_for(
        pool, job.preferred_domain, job.key.empty() ? job.attempt.get() : job.key);
}

broker_ticket
piece_broker::submit(const pool_id& pool, piece_job job, broker_callbacks callbacks)
{
    const broker_ticket ticket(++last_id_);
    open_job open;
    open.pool = pool;
    open.missing.insert(job.pieces.begin(), job.pieces.end());
    open.job = std::move(job);
    open.callbacks = std::move(callbacks);
    open_jobs_.emplace(ticket, std::move(open));
    dispatch(ticket);
    return ticket;
}

void piece_broker::dispatch(broker_ticket ticket)
{
    open_job& open = open_jobs_.at(ticket);
    const owned_group placed = owner_of(open.pool, open.job);
    open.group = placed.group;
    const bool is_remote =
        placed.owner != peers_.self().id && open.reassignments <= max_reassignments &&
        open.rejections <= max_rejections &&
        peers_.send(
            placed.owner,
            job_message(
                ticket.get(), open.group, open.job, open.missing, context_.loop.now()));
    if (!is_remote)
    {
        dispatch_locally(ticket, open);
        return;
    }
    open.is_local = false;
    open.owner = placed.owner;
    open.acknowledgement =
        context_.loop.after(acknowledgement_timeout,
                            [this, ticket]
                            {
                                peers_.suspect(open_jobs_.at(ticket).owner);
                                reassign(ticket);
                            });
}

void piece_broker::dispatch_locally(broker_ticket ticket, open_job& open)
{
    open.is_local = true;
    open.owner = peers_.self().id;
    piece_job job = open.job;
    job.pieces.assign(open.missing.begin(), open.missing.end());
    const job_decision decision = service_.evaluate(open.group, job);
    record_expected(open, decision.is_late, decision.expected_time, decision.growth);
    if (decision.time_since_refusal > millis(0))
    {
        // deferred: the caller of submit() does not have the ticket yet
        context_.loop.after(
            millis(0),
            [this, ticket, time_since_refusal = decision.time_since_refusal]
            {
                notify_retry(ticket, time_since_refusal);
            });
    }
    if (!decision.accepted)
    {
        // deferred: the caller of submit() does not have the ticket yet
        open.acknowledgement =
            context_.loop.after(millis(0),
                                [this, ticket, wait = decision.retry_after]
                                {
                                    refuse(ticket, wait);
                                });
        return;
    }
    open.local = service_.add(open.group,
                              std::move(job),
                              {[this, ticket](int piece, const piece_result& result)
                               {
                                   piece_done(ticket, piece, result, peers_.self().id);
                               }});
}

void piece_broker::record_expected(const open_job& open,
                                   bool is_late,
                                   millis expected,
                                   millis growth)
{
    context_.forecast.record_estimate(
        {open.pool, open.job.priority, is_late}, expected, growth, context_.loop.now());
}

void piece_broker::notify_retry(broker_ticket ticket, millis time_since_refusal)
{
    const auto found = open_jobs_.find(ticket);
    if (found != open_jobs_.end() && found->second.callbacks.on_retry_detected)
    {
        const auto on_retry_detected = found->second.callbacks.on_retry_detected;
        on_retry_detected(time_since_refusal);
    }
}

void piece_broker::record_refusal(const pool_id& pool,
                                  const failure_domain_id& domain,
                                  const std::string& key)
{
    const auto [group, owner] = owner_for(pool, domain, key);
    if (owner == peers_.self().id)
    {
        service_.record_refusal(group, key);
    }
    else
    {
        // if this message is lost, a retry of the request is treated as a new request
        peers_.send(owner,
                    {{"type", "refused"},
                     {"pool", pool.get()},
                     {"group", group.domain},
                     {"key", key}});
    }
}

void piece_broker::reassign(broker_ticket ticket)
{
    open_job& open = open_jobs_.at(ticket);
    context_.loop.cancel(open.acknowledgement);
    ++open.reassignments;
    // a job in progress was accepted before; reassignment must not get it refused
    open.job.is_refusable = false;
    context_.metrics->add("medlar_jobs_moved_total", {});
    dispatch(ticket);
}

void piece_broker::refuse(broker_ticket ticket, millis retry_after)
{
    const auto found = open_jobs_.find(ticket);
    if (found == open_jobs_.end())
    {
        return;
    }
    const auto on_refused = found->second.callbacks.on_refused;
    context_.loop.cancel(found->second.acknowledgement);
    open_jobs_.erase(found);
    on_refused(retry_after);
}

void piece_broker::piece_done(broker_ticket ticket,
                              int piece,
                              const piece_result& result,
                              const host_id& maker)
{
    if (result.handle)
    {
        makers_[*result.handle] = maker;
    }
    const auto found = open_jobs_.find(ticket);
    if (found == open_jobs_.end() || found->second.missing.count(piece) == 0)
    {
        if (result.handle)
        {
            free({*result.handle});
        }
        return;
    }
    found->second.missing.erase(piece);
    const auto on_piece = found->second.callbacks.on_piece;
    if (found->second.missing.empty())
    {
        context_.loop.cancel(found->second.acknowledgement);
        open_jobs_.erase(found);
    }
    on_piece(piece, result);
}

void piece_broker::cancel(broker_ticket ticket)
{
    const auto found = open_jobs_.find(ticket);
    if (found == open_jobs_.end())
    {
        return;
    }
    const open_job open = std::move(found->second);
    open_jobs_.erase(found);
    context_.loop.cancel(open.acknowledgement);
    if (open.is_local)
    {
        service_.cancel(open.local);
    }
    else
    {
        peers_.send(open.owner, {{"type", "cancel"}, {"number", ticket.get()}});
    }
}

void piece_broker::free(const std::vector<result_handle>& handles)
{
    std::map<host_id, std::vector<result_handle>> by_maker;
    for (const result_handle& each : handles)
    {
        const auto found = makers_.find(each);
        if (found == makers_.end())
        {
            continue;
        }
        by_maker[found->second].push_back(each);
        makers_.erase(found);
    }
    for (const auto& each : by_maker)
    {
        nlohmann::json names = nlohmann::json::array();
        for (const result_handle& handle : each.second)
        {
            names.push_back(handle.get());
        }
        if (each.first == peers_.self().id ||
            !peers_.send(each.first, {{"type", "free"}, {"handles", std::move(names)}}))
        {
            service_.free(each.second);
        }
    }
}

bool piece_broker::handle_request(const std::shared_ptr<message_link>& from,
                                  const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "job")
    {
        handle_job(from, message);
        return true;
    }
    if (type == "cancel")
    {
        const auto number = message.at("number").get<std::uint64_t>();
        const auto found =
            std::find_if(remote_jobs_.begin(),
                         remote_jobs_.end(),
                         [&](const auto& each)
                         {
                             return each.second.requester_key == from.get() &&
                                    each.second.number == number;
                         });
        if (found != remote_jobs_.end())
        {
            drop_remote(found->first);
        }
        return true;
    }
    if (type == "refused")
    {
        service_.record_refusal({pool_id(message.at("pool").get<std::string>()),
                                 message.at("group").get<std::string>()},
                                message.at("key").get<std::string>());
        return true;
    }
    if (type == "free")
    {
        std::vector<result_handle> handles;
        for (const nlohmann::json& each : message.at("handles"))
        {
            handles.emplace_back(each.get<std::string>());
        }
        service_.free(handles);
        return true;
    }
    return false;
}

void piece_broker::handle_job(const std::shared_ptr<message_link>& from,
                              const nlohmann::json& message)
{
    const auto number = message.at("number").get<std::uint64_t>();
    const piece_group group{pool_id(message.at("pool").get<std::string>()),
                            message.at("group").get<std::string>()};
    if (is_left_to_others(group.pool))
    {
        from->send({{"type", "no_path"}, {"number", number}, {"accepted", false}});
        return;
    }
    piece_job job = read_job(message, context_.loop.now());
    const job_decision decision = service_.evaluate(group, job);
    from->send({{"type", "verdict"},
                {"number", number},
                {"accepted", decision.accepted},
                {"late", decision.is_late},
                {"expected_ms", decision.expected_time.count()},
                {"growth_ms", decision.growth.count()},
                {"retry_ms", decision.retry_after.count()},
                {"waited_ms", decision.time_since_refusal.count()}});
    if (!decision.accepted)
    {
        return;
    }
    const std::uint64_t key = ++last_id_;
    remote_job remote;
    remote.requester = from;
    remote.requester_key = from.get();
    remote.number = number;
    remote.missing.insert(job.pieces.begin(), job.pieces.end());
    remote.ticket =
        service_.add(group,
                     std::move(job),
                     {[this, key, number](int piece, const piece_result& result)
                      {
                          const auto found = remote_jobs_.find(key);
                          const auto requester = found == remote_jobs_.end()
                                                     ? nullptr
                                                     : found->second.requester.lock();
                          if (!requester)
                          {
                              if (result.handle)
                              {
                                  service_.free({*result.handle});
                              }
                              return;
                          }
                          requester->send(piece_message(number, piece, result));
                          found->second.missing.erase(piece);
                          if (found->second.missing.empty())
                          {
                              drop_remote(key);
                          }
                      }});
    remote_jobs_.emplace(key, std::move(remote));
}

void piece_broker::drop_remote(std::uint64_t key)
{
    const auto found = remote_jobs_.find(key);
    service_.cancel(found->second.ticket);
    remote_jobs_.erase(found);
}

bool piece_broker::handle_answer(const host_id& from, const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type != "verdict" && type != "piece" && type != "no_path")
    {
        return false;
    }
    const broker_ticket ticket(message.at("number").get<std::uint64_t>());
    const auto found = open_jobs_.find(ticket);
    const bool is_current = found != open_jobs_.end() && !found->second.is_local &&
                            found->second.owner == from;
    owner_answer answer;
    try
    {
        answer = read_answer(type, message);
    }
    catch (const nlohmann::json::exception&)
    {
        if (is_current)
        {
            // what the answer said is not known: the job begins again, and not twice
            peers_.send(from, {{"type", "cancel"}, {"number", ticket.get()}});
            reassign(ticket);
        }
        throw;
    }
    if (type == "piece")
    {
        piece_done(ticket, answer.piece, answer.result, from);
    }
    else if (type == "no_path" && is_current)
    {
        open_job& open = found->second;
        context_.loop.cancel(open.acknowledgement);
        paths_.record_lost(from, open.pool);
        ++open.rejections;
        // a job in progress was accepted before
        open.job.is_refusable = open.job.is_refusable && !answer.is_accepted;
        dispatch(ticket);
    }
    else if (type == "verdict" && is_current)
    {
        context_.loop.cancel(found->second.acknowledgement);
        record_expected(
            found->second, answer.is_late, answer.expected_time, answer.growth);
        if (!answer.is_accepted)
        {
            refuse(ticket, answer.retry_after);
        }
        else if (answer.time_since_refusal > millis(0))
        {
            notify_retry(ticket, answer.time_since_refusal);
        }
    }
    return true;
}

void piece_broker::handle_owner_lost(const host_id& owner)
{
    std::vector<broker_ticket> affected;
    for (const auto& each : open_jobs_)
    {
        if (!each.second.is_local && each.second.owner == owner)
        {
            affected.push_back(each.first);
        }
    }
    for (const broker_ticket each : affected)
    {
        if (open_jobs_.count(each) != 0)
        {
            reassign(each);
        }
    }
}

bool piece_broker::is_left_to_others(const pool_id& pool) const
{
    return (peers_.is_leaving() || !paths_.has_path(pool)) &&
           paths_.is_reached_by_another(pool);
}

void piece_broker::handle_path_lost(const pool_id& pool)
{
    hand_over(
        [&](const job_ticket& ticket)
        {
            return ticket.group.pool == pool;
        });
}

void piece_broker::hand_over_waiting()
{
    hand_over(
        [this](const job_ticket& ticket)
        {
            return service_.is_waiting(ticket);
        });
}

void piece_broker::hand_over(const std::function<bool(const job_ticket&)>& is_selected)
{
    std::vector<std::uint64_t> remote;
    for (const auto& each : remote_jobs_)
    {
        const job_ticket& ticket = each.second.ticket;
        if (is_left_to_others(ticket.group.pool) && is_selected(ticket))
        {
            remote.push_back(each.first);
        }
    }
    for (const std::uint64_t each : remote)
    {
        const remote_job& job = remote_jobs_.at(each);
        if (const auto requester = job.requester.lock())
        {
            requester->send(
                {{"type", "no_path"}, {"number", job.number}, {"accepted", true}});
        }
        drop_remote(each);
    }
    std::vector<broker_ticket> local;
    for (const auto& each : open_jobs_)
    {
        const open_job& open = each.second;
        if (open.is_local && open.reassignments < max_reassignments &&
            is_left_to_others(open.pool) && is_selected(open.local))
        {
            local.push_back(each.first);
        }
    }
    for (const broker_ticket each : local)
    {
        if (open_jobs_.count(each) != 0)
        {
            service_.cancel(open_jobs_.at(each).local);
            reassign(each);
        }
    }
}

void piece_broker::handle_requester_lost(const message_link* link)
{
    std::vector<std::uint64_t> affected;
    for (const auto& each : remote_jobs_)
    {
        if (each.second.requester_key == link)
        {
            affected.push_back(each.first);
        }
    }
    for (const std::uint64_t each : affected)
    {
        drop_remote(each);
    }
}

} // namespace medlar
