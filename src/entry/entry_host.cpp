#include <medlar/detail/entry/entry_host.hpp>
#include <medlar/detail/entry/local_reply.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/bounded_log.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <random>

namespace medlar
{

namespace
{

// headers that a host adds to a request that it forwards, those of later builds too
constexpr std::size_t max_forward_header_bytes = 1024;

// retry delay of callers while the host has no configuration: about the time to read it
constexpr millis retry_after_start{300};

// interval for dropping expired targets, writing buffered log lines and closing idle
// connections
constexpr millis tick_interval{100};

// messages of one kind that are passed over are logged no more often: a build beside
// this one may send hundreds a second
constexpr millis pass_over_log_interval{1000};

// a reason may hold what another host sent
constexpr std::size_t max_logged_reason = 200;

peer_host own_peer_host(const entry_settings& settings)
{
    peer_host host{settings.host,
                   settings.domain,
                   settings.link_endpoint,
                   settings.core_share,
                   settings.link_mbps,
                   settings.forward_endpoint};
    host.counts_refusals = true;
    return host;
}

std::string registration_text(const entry_settings& settings)
{
    return nlohmann::json({{"link", to_string(settings.link_endpoint)},
                           {"address", settings.link_endpoint.address},
                           {"port", settings.link_endpoint.port},
                           {"forward_port", settings.forward_endpoint.port},
                           {"domain", settings.domain.get()},
                           {"share", settings.core_share},
                           {"link_mbps", settings.link_mbps},
                           {"evacuations", settings.evacuate_bound.has_value()},
                           {"refusals", true}})
        .dump();
}

absl::StatusOr<peer_host> read_registration(const host_id& id, const std::string& text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return absl::InvalidArgumentError(
            "the registration of a host is not a JSON object");
    }
    const auto address = value.find("address");
    const auto port = value.find("port");
    const auto domain = value.find("domain");
    const auto share = value.find("share");
    if (address == value.end() || !address->is_string() || port == value.end() ||
        !port->is_number_unsigned() || domain == value.end() || !domain->is_string() ||
        share == value.end() || !share->is_number())
    {
        return absl::InvalidArgumentError("the registration of a host lacks a field");
    }
    peer_host host;
    host.id = id;
    host.link = {address->get<std::string>(), port->get<std::uint16_t>()};
    host.domain = failure_domain_id(domain->get<std::string>());
    host.cpu_share = share->get<double>();
    // hosts of an older version do not state it
    const auto forward_port = value.find("forward_port");
    if (forward_port != value.end() && forward_port->is_number_unsigned())
    {
        host.forward = {host.link.address, forward_port->get<std::uint16_t>()};
    }
    const auto evacuations = value.find("evacuations");
    host.mirrors_evacuations = evacuations != value.end() && evacuations->is_boolean() &&
                               evacuations->get<bool>();
    const auto refusals = value.find("refusals");
    host.counts_refusals =
        refusals != value.end() && refusals->is_boolean() && refusals->get<bool>();
    const auto link_mbps = value.find("link_mbps");
    if (link_mbps != value.end() && link_mbps->is_number())
    {
        host.link_mbps = link_mbps->get<double>();
    }
    return host;
}

} // namespace

entry_host::entry_host(event_loop& loop,
                       const entry_protocol& protocol,
                       const entry_settings& settings,
                       settings_reader read_settings)
    : loop_(loop),
      settings_(settings),
      read_settings_(std::move(read_settings)),
      context_(loop, protocol, settings_, std::random_device{}()),
      peers_(loop, own_peer_host(settings)),
      path_controller_(context_, peers_),
      limit_controller_(context_, peers_),
      slow_start_controller_(context_, peers_, limit_controller_.cold()),
      speed_controller_(context_, peers_),
      piece_service_(context_, limit_controller_, path_controller_),
      broker_(context_, peers_, piece_service_, path_controller_),
      store_mirror_(
          [this](const store_item& item)
          {
              on_item_changed(item);
          },
          [this](const std::string& key, steady_time until)
          {
              on_item_expired(key, until);
          },
          [&protocol](const store_item& item)
          {
              return protocol.read_content_version(item);
          }),
      evacuations_(context_),
      store_controller_(
          context_, peers_, store_mirror_, evacuations_, registration_text(settings)),
      crash_controller_(context_, peers_, store_controller_),
      stream_origins_(context_, peers_, store_controller_),
      process_ends_(context_, peers_, path_controller_, stream_origins_),
      memory_controller_(context_)
{
    path_controller_.set_lost_handler(
        [this](const pool_id& pool)
        {
            broker_.handle_path_lost(pool);
        });
    evacuations_.set_return_handler(
        [this](const target_id& target)
        {
            // they may have become cold before their entries say so
            limit_controller_.cold().record_return(target);
        });
    store_controller_.set_era_handler(
        [this]
        {
            crash_controller_.handle_new_era();
        });
}

absl::StatusOr<std::unique_ptr<entry_host>>
entry_host::create(event_loop& loop,
                   const entry_protocol& protocol,
                   const entry_settings& settings,
                   settings_reader read_settings)
{
    std::unique_ptr<entry_host> host(
        new entry_host(loop, protocol, settings, std::move(read_settings)));
    const absl::Status listening = host->listen();
    if (!listening.ok())
    {
        return listening;
    }
    host->store_controller_.start();
    host->tick();
    return host;
}

absl::Status entry_host::listen()
{
    peers_.set_seeds(settings_.seeds);
    peers_.set_request_handler(
        [this](const std::shared_ptr<message_link>& from, const nlohmann::json& message)
        {
            read_message(message,
                         [&]
                         {
                             return broker_.handle_request(from, message) ||
                                    path_controller_.handle_message(message) ||
                                    crash_controller_.handle_request(from, message) ||
                                    limit_controller_.handle_request(from, message) ||
                                    slow_start_controller_.handle_request(from,
                                                                          message) ||
                                    speed_controller_.handle_request(from, message) ||
                                    process_ends_.handle_message(message) ||
                                    stream_origins_.handle_request(from, message) ||
                                    store_controller_.handle_request(from, message);
                         });
        });
    peers_.set_answer_handler(
        [this](const host_id& from, const nlohmann::json& message)
        {
            read_message(message,
                         [&]
                         {
                             return broker_.handle_answer(from, message) ||
                                    crash_controller_.handle_answer(message) ||
                                    limit_controller_.handle_answer(message) ||
                                    slow_start_controller_.handle_answer(from, message) ||
                                    speed_controller_.handle_answer(message) ||
                                    stream_origins_.handle_answer(from, message) ||
                                    store_controller_.handle_answer(from, message);
                         });
        });
    peers_.set_peer_lost_handler(
        [this](const host_id& host, connection_end reason)
        {
            broker_.handle_owner_lost(host);
            store_controller_.handle_peer_lost(host, reason);
            crash_controller_.handle_peer_lost();
            limit_controller_.handle_peer_lost(host);
            slow_start_controller_.handle_peer_lost(host);
            stream_origins_.handle_peer_lost(host, reason);
        });
    peers_.set_requester_lost_handler(
        [this](const message_link* link)
        {
            broker_.handle_requester_lost(link);
            store_controller_.handle_requester_lost(link);
            stream_origins_.handle_host_lost();
        });
    const absl::Status linked = peers_.listen();
    if (!linked.ok())
    {
        return linked;
    }
    const auto open = [this](const endpoint& where,
                             const server_limits& limits,
                             http_server::request_action action,
                             std::unique_ptr<http_server>& to) -> absl::Status
    {
        absl::StatusOr<std::unique_ptr<http_server>> server =
            http_server::listen(loop_, where, limits, std::move(action));
        if (!server.ok())
        {
            return server.status();
        }
        to = *std::move(server);
        memory_controller_.add_server(*to);
        to->set_rejection_handler(
            [this](int status, const std::string& why)
            {
                context_.metrics->add("medlar_rejected_total",
                                      {{"status", absl::StrCat(status)}});
                log_event(entry_request_rejected,
                          {{"status", std::int64_t{status}}, {"why", why}});
            });
        return absl::OkStatus();
    };
    absl::Status status = open(
        settings_.caller_endpoint,
        caller_limits_,
        [this](const std::shared_ptr<caller_exchange>& exchange)
        {
            serve(exchange, false);
        },
        caller_server_);
    if (status.ok() && settings_.forward_endpoint.port != 0)
    {
        status = open(
            settings_.forward_endpoint,
            forward_limits_,
            [this](const std::shared_ptr<caller_exchange>& exchange)
            {
                serve(exchange, true);
            },
            forward_server_);
    }
    if (status.ok())
    {
        status = open(
            settings_.readiness_endpoint,
            inner_limits_,
            [this](const std::shared_ptr<caller_exchange>& exchange)
            {
                serve_readiness(exchange);
            },
            readiness_server_);
    }
    if (status.ok())
    {
        status = open(
            settings_.metrics_endpoint,
            inner_limits_,
            [this](const std::shared_ptr<caller_exchange>& exchange)
            {
                if (exchange->head().path() == explain_path)
                {
                    serve_explanation(exchange);
                    return;
                }
                serve_metrics(exchange);
            },
            metrics_server_);
    }
    return status;
}

void entry_host::read_message(const nlohmann::json& message,
                              const std::function<bool()>& handle)
{
    try
    {
        if (!handle())
        {
            using replace_odd = nlohmann::json::error_handler_t;
            const nlohmann::json type =
                message.at("type").get<std::string>().substr(0, max_logged_reason);
            pass_over("unknown",
                      "no handler knows the type " +
                          type.dump(-1, ' ', false, replace_odd::replace));
        }
    }
    catch (const nlohmann::json::exception& error)
    {
        pass_over("unreadable", error.what());
    }
}

void entry_host::pass_over(const std::string& kind, const std::string& why)
{
    context_.metrics->add("medlar_messages_passed_over_total", {{"why", kind}});
    passed_over_messages& passed = passed_over_[kind];
    ++passed.unlogged;
    const steady_time now = loop_.now();
    if (!passed.logged_at || now - *passed.logged_at >= pass_over_log_interval)
    {
        passed.logged_at = now;
        log_event(entry_message_passed_over,
                  {{"kind", kind},
                   {"why", why.substr(0, max_logged_reason)},
                   {"messages", std::exchange(passed.unlogged, std::uint64_t{0})}});
    }
}

bool entry_host::lacks_path(const route& wanted) const
{
    return std::any_of(wanted.pools.begin(),
                       wanted.pools.end(),
                       [this](const weighted_pool& each)
                       {
                           return !path_controller_.has_path(each.pool);
                       });
}

route_decision entry_host::route_for(const request_head& head,
                                     const request_fields& fields,
                                     bool is_forwarded) const
{
    route_input input{
        context_.configuration.get(), head.headers.get("host"), head.path(), fields};
    input.is_stopping = !accepts_requests();
    input.has_started = has_started();
    input.is_forwarded = is_forwarded;
    std::int64_t version = 0;
    if (absl::SimpleAtoi(head.headers.get(forward_version_header), &version))
    {
        input.version_of_sender = version;
    }
    input.lacks_path = [this](const route& wanted)
    {
        return lacks_path(wanted);
    };
    return decide_route(input);
}

run_services entry_host::services()
{
    return {broker_,
            crash_controller_,
            limit_controller_,
            stream_origins_,
            path_controller_,
            slow_start_controller_,
            speed_controller_};
}

void entry_host::serve(const std::shared_ptr<caller_exchange>& exchange,
                       bool is_forwarded)
{
    const request_fields fields = context_.protocol.read_request(exchange->head());
    const configuration_ptr configuration = context_.configuration;
    const route_decision decided = route_for(exchange->head(), fields, is_forwarded);
    if (decided.is_not_taken)
    {
        send_local_reply(context_.protocol,
                         *exchange,
                         fields.attempt,
                         status_unavailable,
                         {{forward_not_taken_header, decided.why}},
                         decided.why);
        return;
    }
    if (decided.matched == nullptr)
    {
        send_error_reply(exchange, fields, decided);
        return;
    }
    request_run::create(context_,
                        services(),
                        exchange,
                        fields,
                        configuration,
                        *decided.matched,
                        decided.organisation,
                        is_forwarded)
        ->start();
}

std::vector<header_field> entry_host::headers_without_route(int status) const
{
    std::vector<header_field> headers;
    if (status == status_unavailable)
    {
        headers.push_back(context_.protocol.retry_after(retry_after_start));
    }
    if (status == status_unauthorised)
    {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return headers;
}

void entry_host::send_error_reply(const std::shared_ptr<caller_exchange>& exchange,
                                  const request_fields& fields,
                                  const route_decision& decided)
{
    context_.metrics->add("medlar_requests_total",
                          {{"status", absl::StrCat(decided.status)}});
    log_event(entry_request_ended,
              {{"attempt", fields.attempt.get()},
               {"version", context_.configuration ? context_.configuration->version : -1},
               {"outcome", decided.why},
               {"status", std::int64_t{decided.status}}});
    send_local_reply(context_.protocol,
                     *exchange,
                     fields.attempt,
                     decided.status,
                     headers_without_route(decided.status),
                     decided.why);
}

bool entry_host::has_started() const
{
    // a peer that does not mirror evacuations may have told of the targets first; a host
    // that the store does not answer cannot know better
    const bool knows_evacuations = is_serving_ || !store_mirror_.lacks_evacuations() ||
                                   !store_controller_.is_in_contact();
    return context_.configuration != nullptr && store_mirror_.has_been_filled() &&
           knows_evacuations && store_controller_.has_asked_peers();
}

bool entry_host::is_ready() const
{
    return has_started() && !context_.targets.all().empty() && !context_.shutdown;
}

bool entry_host::accepts_requests() const
{
    return !context_.shutdown || context_.shutdown->accepts_requests(loop_.now());
}

void entry_host::serve_readiness(const std::shared_ptr<caller_exchange>& exchange) const
{
    if (exchange->head().path() != context_.protocol.readiness_path())
    {
        exchange->answer(status_not_found, {}, "not found\n");
        return;
    }
    exchange->answer(is_ready() ? status_ok : status_unavailable,
                     {},
                     is_ready() ? "ready\n" : "not ready\n");
}

void entry_host::serve_metrics(const std::shared_ptr<caller_exchange>& exchange)
{
    const std::pair<std::size_t, std::size_t> load = piece_service_.load();
    context_.metrics->set("medlar_pieces_waiting", {}, static_cast<double>(load.first));
    context_.metrics->set(
        "medlar_piece_calls_running", {}, static_cast<double>(load.second));
    context_.metrics->set("medlar_requests_running",
                          {},
                          static_cast<double>(caller_server_->open_exchanges()));
    context_.metrics->set("medlar_target_connections_opened",
                          {},
                          static_cast<double>(context_.client.opened_connections()));
    evacuations_.write_metrics();
    context_.metrics->set("medlar_blocked_suspects",
                          {},
                          static_cast<double>(crash_controller_.blocked_count()));
    context_.metrics->set("medlar_targets_cold",
                          {},
                          static_cast<double>(limit_controller_.cold().cold_count()));
    context_.metrics->set(
        "medlar_entry_hosts_live", {}, static_cast<double>(peers_.live_hosts().size()));
    slow_start_controller_.write_metrics();
    memory_controller_.write_metrics();
    header_list headers;
    headers.add("Content-Type", "text/plain; version=0.0.4");
    exchange->answer(status_ok, headers, context_.metrics->write());
}

void entry_host::on_item_changed(const store_item& item)
{
    const std::string targets = context_.protocol.target_prefix();
    const std::string hosts = context_.protocol.host_prefix();
    if (item.key == context_.protocol.configuration_key())
    {
        on_configuration_changed(item);
    }
    else if (absl::StartsWith(item.key, context_.protocol.blocked_suspect_prefix()))
    {
        crash_controller_.handle_item(item);
    }
    else if (absl::StartsWith(item.key, context_.protocol.version_prefix()))
    {
        stream_origins_.handle_item(item);
    }
    else if (absl::StartsWith(item.key, context_.protocol.share_prefix()))
    {
        stream_origins_.handle_shares(item);
    }
    else if (absl::StartsWith(item.key, context_.protocol.evacuation_prefix()))
    {
        evacuations_.handle_item(item);
    }
    else if (absl::StartsWith(item.key, targets))
    {
        on_target_changed(target_id(item.key.substr(targets.size())), item);
    }
    else if (absl::StartsWith(item.key, hosts))
    {
        on_host_changed(host_id(item.key.substr(hosts.size())), item);
    }
}

void entry_host::on_item_expired(const std::string& key, steady_time until)
{
    const std::string targets = context_.protocol.target_prefix();
    const std::string hosts = context_.protocol.host_prefix();
    if (absl::StartsWith(key, targets))
    {
        context_.targets.mark_lapsed(target_id(key.substr(targets.size())), until);
    }
    else if (absl::StartsWith(key, hosts))
    {
        lapsed_hosts_[host_id(key.substr(hosts.size()))] = until;
    }
    else if (absl::StartsWith(key, context_.protocol.evacuation_prefix()))
    {
        evacuations_.handle_item_expired(key, until);
    }
    else if (absl::StartsWith(key, context_.protocol.blocked_suspect_prefix()))
    {
        crash_controller_.handle_item_expired(key);
    }
    else if (absl::StartsWith(key, context_.protocol.version_prefix()))
    {
        stream_origins_.handle_item_expired(key);
    }
    else if (absl::StartsWith(key, context_.protocol.share_prefix()))
    {
        stream_origins_.handle_shares_expired(key);
    }
}

void entry_host::on_configuration_changed(const store_item& item)
{
    if (item.is_deleted)
    {
        return;
    }
    absl::StatusOr<serving_configuration> read =
        context_.protocol.read_configuration(item.value);
    if (!read.ok())
    {
        log_event(entry_item_unreadable,
                  {{"what", item.key},
                   {"revision", item.revision},
                   {"why", read.status().message()}});
        return;
    }
    if (context_.configuration && context_.configuration->version >= read->version)
    {
        return;
    }
    if (!read->unusable_values.empty())
    {
        log_event(entry_item_unreadable,
                  {{"what", item.key},
                   {"revision", item.revision},
                   {"why", absl::StrJoin(read->unusable_values, "; ")}});
    }
    caller_limits_ = read->limits;
    forward_limits_ = read->limits;
    forward_limits_.max_head_bytes += max_forward_header_bytes;
    log_event(entry_configuration_in_force,
              {{"version", read->version},
               {"revision", item.revision},
               {"routes", static_cast<std::int64_t>(read->routes.size())},
               {"in_contact", std::int64_t{store_controller_.is_in_contact()}}});
    context_.configuration =
        std::make_shared<const serving_configuration>(*std::move(read));
}

void entry_host::on_target_changed(const target_id& id, const store_item& item)
{
    const target_state* const before = context_.targets.find(id);
    const bool was_draining = before != nullptr && before->record.is_draining;
    if (item.is_deleted)
    {
        if (before != nullptr)
        {
            // it may still finish its answers
            context_.client.keep_witness(before->record.address);
        }
        context_.targets.remove(id);
        log_event(entry_target_changed, {{"target", id.get()}, {"state", "gone"}});
        return;
    }
    const absl::StatusOr<target_record> record =
        context_.protocol.read_target(id, item.value);
    if (!record.ok())
    {
        log_event(entry_item_unreadable,
                  {{"what", item.key}, {"why", record.status().message()}});
        context_.targets.remove(id);
        return;
    }
    const std::string unusable_before =
        before != nullptr ? before->record.unusable_field : "";
    if (!record->unusable_field.empty() && record->unusable_field != unusable_before)
    {
        log_event(entry_item_unreadable,
                  {{"what", item.key},
                   {"why", record->unusable_field + " is no sensible value"}});
    }
    const bool is_new = context_.targets.put(*record, loop_.now());
    if (is_new)
    {
        context_.client.close_idle(record->address);
    }
    if (record->is_draining && !was_draining)
    {
        context_.client.keep_witness(record->address);
    }
    limit_controller_.cold().record_entry(*record, is_serving_ && is_new);
    stream_origins_.handle_target(*record);
    if (is_serving_ && (is_new || was_draining != record->is_draining))
    {
        log_event(entry_target_changed,
                  {{"target", id.get()},
                   {"pool", record->pool.get()},
                   {"address", to_string(record->address)},
                   {"domain", record->domain.get()},
                   {"version", record->version.get()},
                   {"state", record->is_draining ? "draining" : "serving"},
                   {"started_ms", record->started_ms}});
    }
}

void entry_host::on_host_changed(const host_id& id, const store_item& item)
{
    bool is_new = false;
    if (item.is_deleted && id == settings_.host)
    {
        store_controller_.handle_registration_gone();
    }
    if (item.is_deleted)
    {
        peers_.remove(id);
    }
    else
    {
        const absl::StatusOr<peer_host> host = read_registration(id, item.value);
        if (!host.ok())
        {
            log_event(entry_item_unreadable,
                      {{"what", item.key}, {"why", host.status().message()}});
            return;
        }
        is_new = peers_.put(*host);
        lapsed_hosts_.erase(id);
    }
    if (!is_new)
    {
        stream_origins_.handle_host_lost();
    }
    context_.host_count =
        std::max<std::size_t>(context_.host_count, peers_.registered_count());
    if (is_serving_ && (is_new || item.is_deleted))
    {
        log_event(entry_peer_changed,
                  {{"host", id.get()},
                   {"state", item.is_deleted ? "gone" : "registered"},
                   {"hosts", static_cast<std::int64_t>(peers_.registered_count())}});
    }
}

void entry_host::drop_lapsed_hosts()
{
    for (auto each = lapsed_hosts_.begin(); each != lapsed_hosts_.end();)
    {
        const auto entry = each++;
        if (entry->second <= loop_.now())
        {
            store_item gone;
            gone.is_deleted = true;
            const host_id id = entry->first;
            lapsed_hosts_.erase(entry);
            on_host_changed(id, gone);
        }
    }
}

void entry_host::tick()
{
    context_.targets.drop_lapsed(loop_.now());
    drop_lapsed_hosts();
    evacuations_.tick();
    path_controller_.tick();
    slow_start_controller_.tick();
    speed_controller_.tick();
    memory_controller_.tick();
    if (!is_serving_ && has_started())
    {
        is_serving_ = true;
        log_event(entry_serving,
                  {{"targets", static_cast<std::int64_t>(context_.targets.all().size())},
                   {"hosts", static_cast<std::int64_t>(peers_.registered_count())}});
        evacuations_.begin_log();
        limit_controller_.refusals().begin();
    }
    if (const std::size_t dropped = take_dropped_lines())
    {
        log_event(entry_lines_dropped, {{"lines", static_cast<std::int64_t>(dropped)}});
    }
    write_buffered_lines();
    if (context_.shutdown)
    {
        continue_shutdown();
    }
    loop_.after(tick_interval,
                [this]
                {
                    tick();
                });
}

void entry_host::continue_shutdown()
{
    broker_.hand_over_waiting();
    const std::set<std::shared_ptr<running_request>> requests = context_.running_requests;
    for (const std::shared_ptr<running_request>& each : requests)
    {
        each->apply(*context_.shutdown);
    }
    if (!accepts_requests())
    {
        caller_server_->close_idle();
        if (forward_server_)
        {
            forward_server_->close_idle();
        }
    }
}

void entry_host::drain()
{
    if (context_.shutdown)
    {
        return;
    }
    context_.shutdown = shutdown_plan::create(loop_.now(), settings_.shutdown_grace);
    log_event(entry_draining,
              {{"open", static_cast<std::int64_t>(caller_server_->open_exchanges())}});
    caller_server_->set_draining();
    if (forward_server_)
    {
        forward_server_->set_draining();
    }
    peers_.leave();
    store_controller_.leave();
    continue_shutdown();
}

void entry_host::reload()
{
    const absl::StatusOr<entry_settings> read = read_settings_();
    if (!read.ok())
    {
        log_event(entry_settings_read, {{"error", read.status().message()}});
        return;
    }
    // listen addresses change only with a restart
    settings_.store_endpoint = read->store_endpoint;
    settings_.seeds = read->seeds;
    settings_.shutdown_grace = read->shutdown_grace;
    settings_.retry_rule = read->retry_rule;
    settings_.cold = read->cold;
    settings_.change_bound = read->change_bound;
    settings_.target_heartbeat = read->target_heartbeat;
    settings_.evacuate_bound = read->evacuate_bound;
    settings_.memory_mb = read->memory_mb;
    settings_.least_read_rate = read->least_read_rate;
    settings_.max_descriptors = read->max_descriptors;
    memory_controller_.apply_settings();
    peers_.set_seeds(settings_.seeds);
    store_controller_.apply_settings(registration_text(settings_));
    log_event(entry_settings_read, {{"store", to_string(settings_.store_endpoint)}});
}

bool entry_host::is_finished() const
{
    if (!context_.shutdown)
    {
        return false;
    }
    const bool is_forward_idle =
        forward_server_ == nullptr || forward_server_->open_exchanges() == 0;
    const bool idle = is_forward_idle && caller_server_->open_exchanges() == 0 &&
                      caller_server_->connections() == 0 &&
                      !piece_service_.has_unfinished_jobs();
    return (!accepts_requests() && idle) || context_.shutdown->is_over(loop_.now());
}

} // namespace medlar
