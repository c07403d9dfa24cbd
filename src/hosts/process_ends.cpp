#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/process_ends.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// time in which a host that is refused finds out whether it has lost its path
constexpr millis path_check_time{50};

} // namespace

process_ends::process_ends(entry_context& context,
                           peer_network& peers,
                           path_controller& paths,
                           const stream_origins& origins)
    : context_(context), peers_(peers), paths_(paths), origins_(origins)
{
    context_.client.set_loss_handler(
        [this](const endpoint& where, connection_loss how)
        {
            handle_loss(where, how);
        });
}

void process_ends::handle_loss(const endpoint& where, connection_loss how)
{
    if (how != connection_loss::regular)
    {
        context_.targets.record_loss(where, context_.loop.now());
    }
    const target_state* const target = context_.targets.find_by_address(where);
    if (target == nullptr || !target->states_no_start)
    {
        return;
    }
    if (how == connection_loss::refused)
    {
        handle_refusal(target->record.id);
    }
    else
    {
        probe(*target);
    }
}

void process_ends::probe(const target_state& target)
{
    const target_id& id = target.record.id;
    std::unique_ptr<connection_probe>& probe = probes_[id];
    if (!probe)
    {
        probe = std::make_unique<connection_probe>(context_.loop,
                                                   target.record.address,
                                                   millis(0),
                                                   [this, id](probe_result result)
                                                   {
                                                       end_probe(id, result);
                                                   });
    }
}

void process_ends::end_probe(const target_id& id, probe_result result)
{
    probes_.erase(id);
    const target_state* const target = context_.targets.find(id);
    // a process that accepts no more connections, but keeps those it has, has not ended
    if (result == probe_result::refused && target != nullptr && target->states_no_start &&
        !context_.client.has_connection_since(target->record.address,
                                              context_.loop.now()))
    {
        paths_.record_failure(target->record.pool, id, false);
        handle_refusal(id);
    }
}

bool process_ends::record_end(target_state& target, steady_time ended_at)
{
    if (!target.evidence.record_end(ended_at))
    {
        return false;
    }
    log_event(entry_target_ended,
              {{"target", target.record.id.get()},
               {"pool", target.record.pool.get()},
               {"listed_ms", target.record.started_ms}});
    return true;
}

void process_ends::handle_refusal(const target_id& id)
{
    target_state* const target = context_.targets.find(id);
    const steady_time now = context_.loop.now();
    if (!record_end(*target, now))
    {
        return;
    }
    context_.loop.after(path_check_time,
                        [this, id, started_ms = target->record.started_ms, now]
                        {
                            const target_state* const ended = context_.targets.find(id);
                            if (ended != nullptr && paths_.has_path(ended->record.pool))
                            {
                                tell(id, started_ms, now);
                            }
                        });
}

bool process_ends::is_keeper() const
{
    const std::vector<host_id> keepers = origins_.keepers();
    return std::find(keepers.begin(), keepers.end(), peers_.self().id) != keepers.end();
}

void process_ends::tell(const target_id& id,
                        std::int64_t started_ms,
                        steady_time ended_at)
{
    const bool tells_all = is_keeper();
    const nlohmann::json message{{"type", "process_ended"},
                                 {"target", id.get()},
                                 {"started_ms", started_ms},
                                 {"age_ms", (context_.loop.now() - ended_at).count()},
                                 {"is_told_to_all", tells_all}};
    if (!tells_all)
    {
        for (const host_id& each : origins_.keepers())
        {
            peers_.send(each, message);
        }
        return;
    }
    for (const peer_host& each : peers_.live_peers())
    {
        peers_.send(each.id, message);
    }
}

bool process_ends::handle_message(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "process_ended")
    {
        return false;
    }
    const target_id id(message.at("target").get<std::string>());
    const auto started_ms = message.at("started_ms").get<std::int64_t>();
    const steady_time ended_at =
        context_.loop.now() - std::max(millis(0), read_span(message, "age_ms"));
    const bool is_told_to_all = message.at("is_told_to_all").get<bool>();
    target_state* const target = context_.targets.find(id);
    // a connection that is still open would have ended with its process
    if (target == nullptr || target->record.started_ms != started_ms ||
        context_.client.has_connection_since(target->record.address, ended_at) ||
        !record_end(*target, ended_at))
    {
        return true;
    }
    if (!is_told_to_all)
    {
        tell(id, started_ms, ended_at);
    }
    return true;
}

} // namespace medlar
