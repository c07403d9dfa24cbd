#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/gateway/caller_server.hpp>
#include <medlar/detail/gateway/gateway.hpp>
#include <medlar/detail/gateway/local_exchange.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/gateway_events.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <utility>

DEFINE_string(listen, "127.0.0.1:0", "address and port for HTTP requests of callers");
DEFINE_string(link, "127.0.0.1:0", "address and port for links from other processes");
DEFINE_string(host_id, "", "name of this host");
DEFINE_string(failure_domain, "", "failure domain of this host");
DEFINE_string(seeds, "", "comma-separated link addresses of other gateways");
DEFINE_string(config_file, "", "configuration document of a stand-alone gateway");
DEFINE_bool(check, false, "print the settings and exit");
DEFINE_int32(gateways, 1, "number of gateways sharing the targets, until it is known");
DEFINE_int32(max_connections, 1024, "maximum number of connections of callers");
DEFINE_int32(max_requests, 512, "maximum number of requests in progress");
DEFINE_int32(max_link_streams, 1024, "maximum number of concurrent calls on links");
DEFINE_int32(max_nesting, 64, "maximum nesting depth of a request body");
DEFINE_int64(max_body_bytes, 4L * 1024 * 1024, "maximum size of a request body");
DEFINE_int64(max_bodies_bytes,
             0,
             "memory limit of all request bodies together; 0: 64 times max_body_bytes");
DEFINE_int64(max_answer_bytes, 16L * 1024 * 1024, "maximum size of a target's answer");
DEFINE_int64(max_claim_bytes, 256L * 1024 * 1024, "memory limit of claims and answers");
DEFINE_int64(retention_ms, 600000, "time after its issue for which a request is stored");
DEFINE_int64(lease_ms, 3000, "duration of a lease; must be equal on all hosts");
DEFINE_int64(renew_ms, 1000, "interval of lease renewals; must be equal on all hosts");
DEFINE_int64(caller_skew_ms, 500, "maximum clock skew between a caller and a host");
DEFINE_int64(host_skew_ms, 100, "maximum clock skew between two hosts");
DEFINE_int64(connect_timeout_ms, 300, "timeout for connecting to a target");
DEFINE_int64(socket_timeout_ms, 10000, "maximum time without data from a caller");
DEFINE_int64(body_timeout_ms, 20000, "timeout for receiving a whole request body");
DEFINE_int64(keep_alive_ms,
             15000,
             "time after which an idle connection of a caller is closed");
DEFINE_int64(poll_interval_ms, 1000, "interval of polling the targets; 0: never");
DEFINE_int64(max_configuration_age_ms,
             600000,
             "age of the configuration at which the host becomes unready");
DEFINE_int64(drain_wait_ms, 2000, "time for the load balancer to notice a shutdown");
DEFINE_int64(shutdown_timeout_ms, 65000, "timeout for finishing requests at shutdown");
DEFINE_uint64(seed, 1, "seed for the random selection of targets");

namespace medlar
{

namespace
{

constexpr int exit_bad_setting = 2;
constexpr millis drain_poll_interval{10};

int exit_with_error(const absl::Status& error)
{
    log_event(gateway_bad_setting, {{"error", error.message()}});
    std::cerr << error.message() << std::endl;
    return exit_bad_setting;
}

absl::Status out_of_range(const std::string& name, const std::string& allowed)
{
    return make_error(absl::StatusCode::kInvalidArgument,
                      error_number::bad_setting,
                      absl::StrCat("--", name, " must be ", allowed));
}

/// @brief Validates the ranges of the settings, which gflags does not check.
absl::Status check_settings()
{
    for (const char* name : {"max_connections",
                             "max_requests",
                             "max_link_streams",
                             "max_nesting",
                             "max_body_bytes",
                             "max_answer_bytes",
                             "max_claim_bytes",
                             "retention_ms",
                             "lease_ms",
                             "renew_ms",
                             "connect_timeout_ms",
                             "socket_timeout_ms",
                             "body_timeout_ms",
                             "keep_alive_ms",
                             "max_configuration_age_ms",
                             "gateways"})
    {
        const std::string value = gflags::GetCommandLineFlagInfoOrDie(name).current_value;
        if (value[0] == '-' || value == "0")
        {
            return out_of_range(name, "at least 1");
        }
    }
    for (const char* name : {"poll_interval_ms", "drain_wait_ms", "shutdown_timeout_ms"})
    {
        if (gflags::GetCommandLineFlagInfoOrDie(name).current_value[0] == '-')
        {
            return out_of_range(name, "at least 0");
        }
    }
    if (FLAGS_host_id.empty())
    {
        return out_of_range("host_id", "given");
    }
    return absl::OkStatus();
}

/// @brief the settings that are addresses
struct addresses
{
    endpoint listen;
    endpoint link;
    std::vector<endpoint> seeds;
};

absl::StatusOr<addresses> read_addresses()
{
    const absl::StatusOr<endpoint> listen = parse_endpoint(FLAGS_listen);
    const absl::StatusOr<endpoint> link = parse_endpoint(FLAGS_link);
    const absl::StatusOr<std::vector<endpoint>> seeds = parse_endpoints(FLAGS_seeds);
    for (const absl::Status& each : {listen.status(), link.status(), seeds.status()})
    {
        if (!each.ok())
        {
            return each;
        }
    }
    return addresses{*listen, *link, *seeds};
}

absl::StatusOr<accepted_document> read_configuration_file()
{
    std::ifstream file(FLAGS_config_file);
    const std::string text{std::istreambuf_iterator<char>(file),
                           std::istreambuf_iterator<char>()};
    absl::StatusOr<document> content = parse_document(text);
    if (!content.ok())
    {
        return content.status();
    }
    accepted_document accepted;
    accepted.number = revision(1);
    accepted.change_id = "config_file";
    accepted.content = std::move(*content);
    return accepted;
}

incarnation random_incarnation()
{
    std::random_device source;
    constexpr unsigned half_bits = 32;
    const std::uint64_t high = source();
    return incarnation((high << half_bits) | source());
}

gateway_settings make_settings(const view_member& self)
{
    gateway_settings settings;
    settings.self = self;
    settings.body.max_bytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
    settings.body.max_nesting = FLAGS_max_nesting;
    settings.max_answer = byte_count(FLAGS_max_answer_bytes);
    settings.max_held_requests = FLAGS_max_requests;
    settings.connect_timeout = millis(FLAGS_connect_timeout_ms);
    settings.poll_interval = millis(FLAGS_poll_interval_ms);
    settings.max_configuration_age = millis(FLAGS_max_configuration_age_ms);
    return settings;
}

caller_server_settings make_server_settings(const endpoint& listen)
{
    caller_server_settings settings;
    settings.listen = listen;
    settings.max_connections = FLAGS_max_connections;
    settings.socket_timeout = millis(FLAGS_socket_timeout_ms);
    settings.body_timeout = millis(FLAGS_body_timeout_ms);
    settings.keep_alive = millis(FLAGS_keep_alive_ms);
    constexpr std::int64_t default_bodies = 64;
    settings.max_bodies =
        byte_count(FLAGS_max_bodies_bytes > 0 ? FLAGS_max_bodies_bytes
                                              : default_bodies * FLAGS_max_body_bytes);
    return settings;
}

policy_settings make_policy_settings(const view_member& self)
{
    policy_settings settings;
    settings.self = self.host;
    settings.failure_domain = self.failure_domain;
    settings.gateways = FLAGS_gateways;
    settings.max_requests = FLAGS_max_requests;
    settings.seed = FLAGS_seed;
    return settings;
}

ownership_timing make_timing()
{
    ownership_timing timing;
    timing.lease_duration = millis(FLAGS_lease_ms);
    timing.renew_interval = millis(FLAGS_renew_ms);
    timing.max_caller_skew = millis(FLAGS_caller_skew_ms);
    timing.max_host_skew = millis(FLAGS_host_skew_ms);
    timing.retention = millis(FLAGS_retention_ms);
    return timing;
}

/// @brief Creates the exchange with the peers, or a local one if a configuration file is
/// given.
absl::StatusOr<std::unique_ptr<exchange>> make_exchange(const view_member& self,
                                                        const addresses& at,
                                                        clock& time,
                                                        claim_table& claims,
                                                        link_client& links)
{
    if (FLAGS_config_file.empty())
    {
        exchange_settings settings;
        settings.self = self;
        settings.timing = make_timing();
        settings.seeds = at.seeds;
        return exchange::create(settings, time, claims, links);
    }
    const absl::StatusOr<accepted_document> configuration = read_configuration_file();
    if (!configuration.ok())
    {
        return configuration.status();
    }
    return std::unique_ptr<exchange>(
        local_exchange::create(self, *configuration, claims));
}

/// Lets the memory of a body return to the system when the body is freed. Each thread has
/// an arena of its own otherwise, which keeps what a crowd has left behind.
void set_up_allocator()
{
    constexpr int mapped_block_bytes = 65536;
    constexpr int arenas = 8;
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_ARENA_MAX, arenas);
}

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// @brief Waits for SIGTERM or SIGINT. After that, a second signal terminates the process
/// immediately.
void wait_for_termination_signal()
{
    const sigset_t signals = termination_signals();
    int caught = 0;
    sigwait(&signals, &caught);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

/// @brief Waits until @p active_count returns 0, at most until @p until.
/// @return whether it returned 0
template <typename Count>
bool wait_until_idle(const clock& time, steady_time until, Count active_count)
{
    const auto never = cancel_token::create();
    while (active_count() > 0 && time.steady_now() < until)
    {
        never->wait_for(drain_poll_interval);
    }
    return active_count() == 0;
}

/// @brief Shuts down gracefully: fails the readiness check, waits for the load balancer,
/// finishes the running requests and hands over ownership.
void shut_down(const clock& time,
               gateway& served,
               caller_server& callers,
               exchange& peers)
{
    log_event(gateway_draining, {{"held", std::int64_t{served.callers_held()}}});
    served.begin_drain();
    cancel_token::create()->wait_for(millis(FLAGS_drain_wait_ms));
    callers.stop_accepting();
    served.refuse_callers();
    const steady_time until = time.steady_now() + millis(FLAGS_shutdown_timeout_ms);
    const bool answered = wait_until_idle(time,
                                          until,
                                          [&served]
                                          {
                                              return served.callers_held();
                                          });
    const bool handed_over = peers.leave(until);
    const bool relayed = wait_until_idle(time,
                                         until,
                                         [&served]
                                         {
                                             return served.relayed_held();
                                         });
    const bool clean = answered && handed_over && relayed;
    log_event(clean ? gateway_stopped : gateway_stopped_early,
              {{"held", std::int64_t{served.callers_held()}},
               {"relayed", std::int64_t{served.relayed_held()}}});
}

int run(const addresses& at)
{
    clock time = clock::system();
    std::atomic<gateway*> link_gateway{nullptr};
    auto link_listener = link_server::create(
        at.link,
        [&link_gateway](const link_request& request, link_responder& responder)
        {
            gateway* served = link_gateway;
            return served == nullptr ? status_unavailable
                                     : served->handle_link(request, responder);
        },
        FLAGS_max_link_streams);
    if (!link_listener.ok())
    {
        return exit_with_error(link_listener.status());
    }
    const view_member self{host_id(FLAGS_host_id),
                           random_incarnation(),
                           (*link_listener)->where(),
                           failure_domain_id(FLAGS_failure_domain)};
    const auto metrics = metrics_registry::create();
    const auto policy = policy_engine::create(make_policy_settings(self));
    const auto claims = claim_table::create(millis(FLAGS_retention_ms),
                                            byte_count(FLAGS_max_claim_bytes));
    const auto links = link_client::create();
    const auto peers = make_exchange(self, at, time, *claims, *links);
    if (!peers.ok())
    {
        return exit_with_error(peers.status());
    }
    const auto served = gateway::create(
        make_settings(self), {time, **peers, *links, *claims, *policy, *metrics});
    link_gateway = served.get();
    auto callers = caller_server::create(make_server_settings(at.listen), *served);
    if (!callers.ok())
    {
        return exit_with_error(callers.status());
    }
    std::cout << "listening " << to_string((*callers)->where()) << " link "
              << to_string((*link_listener)->where()) << std::endl;
    log_event(gateway_started,
              {{"host", self.host.get()}, {"incarnation", self.process.get()}});
    wait_for_termination_signal();
    shut_down(time, *served, **callers, **peers);
    // Stops incoming calls before the objects that handle them are destroyed. Peers must
    // not learn of another process at this link address until this process has stopped
    // accepting connections.
    callers->reset();
    (*peers)->stop();
    link_listener->reset();
    return 0;
}

} // namespace

/// @brief Runs the gateway.
/// @param loaded whether the settings could be loaded
int run_gateway(const absl::Status& loaded)
{
    const absl::Status checked = loaded.ok() ? check_settings() : loaded;
    const absl::StatusOr<addresses> at = read_addresses();
    if (!checked.ok() || !at.ok())
    {
        return exit_with_error(checked.ok() ? at.status() : checked);
    }
    if (FLAGS_check)
    {
        print_settings(std::cout);
        return 0;
    }
    // closed connections are detected by the result of write()
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return run(*at);
}

} // namespace medlar

int main(int argc, char** argv)
{
    medlar::set_up_allocator();
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    medlar::open_log("medlar-gateway");
    return medlar::run_gateway(loaded);
}
