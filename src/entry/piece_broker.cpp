#include <medlar/detail/entry/piece_broker.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// an owner answers a job at once; links are 1.4 ms long, and a busy host has a turn of
// some tens of ms
constexpr millis acknowledgement_timeout{300};

// owners that are tried before this host makes up the calls itself
constexpr int max_moves = 2;

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
            {"aim_ms", (job.aim - now).count()},
            {"left_ms", (job.deadline - now).count()},
            {"domain", job.domain.get()},
            {"bytes", job.result_size.get()},
            {"moved", job.moved_size.get()},
            {"first", job.is_first},
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
    job.aim = now + millis(message.at("aim_ms").get<std::int64_t>());
    job.deadline = now + millis(message.at("left_ms").get<std::int64_t>());
    job.domain = failure_domain_id(message.at("domain").get<std::string>());
    job.result_size = byte_count(message.at("bytes").get<std::int64_t>());
    job.moved_size = byte_count(message.at("moved").get<std::int64_t>());
    job.is_first = message.at("first").get<bool>();
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

} // namespace

piece_broker::piece_broker(entry_context& context,
                           peer_network& peers,
                           piece_service& service)
    : context_(context), peers_(peers), service_(service)
{
}

piece_broker::owned_group piece_broker::owner_for(const pool_id& pool,
                                                  const failure_domain_id& domain)
{
    std::vector<failure_domain_id> domains;
    for (const target_state* each : context_.targets.serving(pool))
    {
        domains.push_back(each->record.domain);
    }
    const std::vector<peer_host> hosts = peers_.live();
    const piece_group group = group_for(pool, domain, domains, targets_of_a_group(hosts));
    return {group, owners_of(group, hosts).front()};
}

broker_ticket piece_broker::submit(const pool_id& pool, piece_job job, broker_sink sink)
{
    const broker_ticket ticket(++last_id_);
    open_job open;
    open.pool = pool;
    open.missing.insert(job.pieces.begin(), job.pieces.end());
    open.job = std::move(job);
    open.sink = std::move(sink);
    open_.emplace(ticket, std::move(open));
    place(ticket);
    return ticket;
}

void piece_broker::place(broker_ticket ticket)
{
    open_job& open = open_.at(ticket);
    const owned_group placed = owner_for(open.pool, open.job.domain);
    open.group = placed.group;
    // nobody's while it is sent: a link that is lost meanwhile must not move it
    open.owner = host_id();
    const bool is_remote =
        placed.owner != peers_.self().id && open.moves <= max_moves &&
        peers_.send(
            placed.owner,
            job_message(
                ticket.get(), open.group, open.job, open.missing, context_.loop.now()));
    if (!is_remote)
    {
        place_here(ticket, open);
        return;
    }
    open.is_local = false;
    open.owner = placed.owner;
    open.acknowledgement = context_.loop.after(acknowledgement_timeout,
                                               [this, ticket]
                                               {
                                                   peers_.suspect(open_.at(ticket).owner);
                                                   move(ticket);
                                               });
}

void piece_broker::place_here(broker_ticket ticket, open_job& open)
{
    open.is_local = true;
    open.owner = peers_.self().id;
    piece_job job = open.job;
    job.pieces.assign(open.missing.begin(), open.missing.end());
    const job_verdict verdict = service_.judge(open.group, job);
    note_verdict(open, verdict.is_late, verdict.expected);
    if (verdict.waited > millis(0))
    {
        // not at once: the caller of submit() does not have the ticket yet
        context_.loop.after(millis(0),
                            [this, ticket, waited = verdict.waited]
                            {
                                tell_returned(ticket, waited);
                            });
    }
    if (!verdict.accepted)
    {
        // not at once: the caller of submit() does not have the ticket yet
        open.acknowledgement =
            context_.loop.after(millis(0),
                                [this, ticket, wait = verdict.retry_after]
                                {
                                    refuse(ticket, wait);
                                });
        return;
    }
    open.local = service_.add(open.group,
                              std::move(job),
                              {[this, ticket](int piece, const piece_result& result)
                               {
                                   piece_done(ticket, piece, result);
                               }});
}

void piece_broker::note_verdict(const open_job& open, bool is_late, millis expected)
{
    context_.forecast.note(
        {open.pool, open.job.priority, is_late}, expected, context_.loop.now());
}

void piece_broker::tell_returned(broker_ticket ticket, millis waited)
{
    const auto found = open_.find(ticket);
    if (found != open_.end() && found->second.sink.on_returned)
    {
        const auto on_returned = found->second.sink.on_returned;
        on_returned(waited);
    }
}

void piece_broker::note_refused(const pool_id& pool,
                                const failure_domain_id& domain,
                                const std::string& key)
{
    const auto [group, owner] = owner_for(pool, domain);
    if (owner == peers_.self().id)
    {
        service_.note_refused(group, key);
    }
    else
    {
        // one that is not heard is taken for a new request when it comes back
        peers_.send(owner,
                    {{"type", "refused"},
                     {"pool", pool.get()},
                     {"group", group.domain},
                     {"key", key}});
    }
}

void piece_broker::move(broker_ticket ticket)
{
    open_job& open = open_.at(ticket);
    context_.loop.cancel(open.acknowledgement);
    ++open.moves;
    // what is under way was accepted once; it is not refused for having to move
    open.job.is_first = false;
    context_.metrics->add("medlar_jobs_moved_total", {});
    place(ticket);
}

void piece_broker::refuse(broker_ticket ticket, millis retry_after)
{
    const auto found = open_.find(ticket);
    if (found == open_.end())
    {
        return;
    }
    const auto on_refused = found->second.sink.on_refused;
    context_.loop.cancel(found->second.acknowledgement);
    open_.erase(found);
    on_refused(retry_after);
}

void piece_broker::piece_done(broker_ticket ticket, int piece, const piece_result& result)
{
    const auto found = open_.find(ticket);
    if (found == open_.end() || found->second.missing.count(piece) == 0)
    {
        if (result.handle)
        {
            service_.free({*result.handle});
        }
        return;
    }
    found->second.missing.erase(piece);
    const auto on_piece = found->second.sink.on_piece;
    if (found->second.missing.empty())
    {
        context_.loop.cancel(found->second.acknowledgement);
        open_.erase(found);
    }
    on_piece(piece, result);
}

void piece_broker::cancel(broker_ticket ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end())
    {
        return;
    }
    context_.loop.cancel(found->second.acknowledgement);
    if (found->second.is_local)
    {
        service_.cancel(found->second.local);
    }
    else
    {
        peers_.send(found->second.owner, {{"type", "cancel"}, {"number", ticket.get()}});
    }
    open_.erase(found);
}

void piece_broker::free(const pool_id& pool,
                        const failure_domain_id& domain,
                        const std::vector<result_handle>& handles)
{
    if (handles.empty())
    {
        return;
    }
    const host_id owner = owner_for(pool, domain).owner;
    nlohmann::json names = nlohmann::json::array();
    for (const result_handle& each : handles)
    {
        names.push_back(each.get());
    }
    if (owner == peers_.self().id ||
        !peers_.send(owner, {{"type", "free"}, {"handles", std::move(names)}}))
    {
        service_.free(handles);
    }
}

bool piece_broker::take_request(const std::shared_ptr<message_link>& from,
                                const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "job")
    {
        take_job(from, message);
        return true;
    }
    if (type == "cancel")
    {
        const auto number = message.at("number").get<std::uint64_t>();
        const auto found = std::find_if(foreign_.begin(),
                                        foreign_.end(),
                                        [&](const auto& each)
                                        {
                                            return each.second.asker_key == from.get() &&
                                                   each.second.number == number;
                                        });
        if (found != foreign_.end())
        {
            drop_foreign(found->first);
        }
        return true;
    }
    if (type == "refused")
    {
        service_.note_refused({pool_id(message.at("pool").get<std::string>()),
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

void piece_broker::take_job(const std::shared_ptr<message_link>& from,
                            const nlohmann::json& message)
{
    const auto number = message.at("number").get<std::uint64_t>();
    const piece_group group{pool_id(message.at("pool").get<std::string>()),
                            message.at("group").get<std::string>()};
    piece_job job = read_job(message, context_.loop.now());
    const job_verdict verdict = service_.judge(group, job);
    from->send({{"type", "verdict"},
                {"number", number},
                {"accepted", verdict.accepted},
                {"late", verdict.is_late},
                {"expected_ms", verdict.expected.count()},
                {"retry_ms", verdict.retry_after.count()},
                {"waited_ms", verdict.waited.count()}});
    if (!verdict.accepted)
    {
        return;
    }
    const std::uint64_t key = ++last_id_;
    foreign_job foreign;
    foreign.asker = from;
    foreign.asker_key = from.get();
    foreign.number = number;
    foreign.missing.insert(job.pieces.begin(), job.pieces.end());
    foreign.ticket =
        service_.add(group,
                     std::move(job),
                     {[this, key, number](int piece, const piece_result& result)
                      {
                          const auto found = foreign_.find(key);
                          const auto asker = found == foreign_.end()
                                                 ? nullptr
                                                 : found->second.asker.lock();
                          if (!asker)
                          {
                              if (result.handle)
                              {
                                  service_.free({*result.handle});
                              }
                              return;
                          }
                          asker->send(piece_message(number, piece, result));
                          found->second.missing.erase(piece);
                          if (found->second.missing.empty())
                          {
                              drop_foreign(key);
                          }
                      }});
    foreign_.emplace(key, std::move(foreign));
}

void piece_broker::drop_foreign(std::uint64_t key)
{
    const auto found = foreign_.find(key);
    service_.cancel(found->second.ticket);
    foreign_.erase(found);
}

bool piece_broker::take_answer(const host_id& from, const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type != "verdict" && type != "piece")
    {
        return false;
    }
    const broker_ticket ticket(message.at("number").get<std::uint64_t>());
    const auto found = open_.find(ticket);
    const bool is_current =
        found != open_.end() && !found->second.is_local && found->second.owner == from;
    if (type == "piece")
    {
        piece_done(ticket, message.at("piece").get<int>(), read_piece(message));
    }
    else if (is_current)
    {
        context_.loop.cancel(found->second.acknowledgement);
        note_verdict(found->second,
                     message.at("late").get<bool>(),
                     millis(message.at("expected_ms").get<std::int64_t>()));
        if (!message.at("accepted").get<bool>())
        {
            refuse(ticket, millis(message.at("retry_ms").get<std::int64_t>()));
            return true;
        }
        // hosts of before do not say it
        const auto waited = message.value("waited_ms", std::int64_t{0});
        if (waited > 0)
        {
            tell_returned(ticket, millis(waited));
        }
    }
    return true;
}

void piece_broker::owner_lost(const host_id& owner)
{
    std::vector<broker_ticket> theirs;
    for (const auto& each : open_)
    {
        if (!each.second.is_local && each.second.owner == owner)
        {
            theirs.push_back(each.first);
        }
    }
    for (const broker_ticket each : theirs)
    {
        if (open_.count(each) != 0)
        {
            move(each);
        }
    }
}

void piece_broker::asker_lost(const message_link* link)
{
    std::vector<std::uint64_t> theirs;
    for (const auto& each : foreign_)
    {
        if (each.second.asker_key == link)
        {
            theirs.push_back(each.first);
        }
    }
    for (const std::uint64_t each : theirs)
    {
        drop_foreign(each);
    }
}

} // namespace medlar
