#include <medlar/detail/base/error.hpp>
#include <medlar/detail/log/operator_events.hpp>
#include <medlar/detail/operators/operators_server.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <optional>

DEFINE_string(listen, "127.0.0.1:0", "address and port for gRPC calls of operators");
DEFINE_string(store, "", "addresses and ports of the key-value store, tried in turn");
DEFINE_string(gateway, "", "link address and port of this host's gateway; empty: none");
DEFINE_int32(store_timeout_ms, 2000, "timeout of calls to the key-value store");
DEFINE_int32(gateway_timeout_ms, 1000, "timeout of calls to a gateway");
DEFINE_uint64(audit_entries,
              200,
              "accepted changes kept in the history; must be equal on all hosts");
DEFINE_bool(check, false, "print the settings and their sources, and exit");

namespace
{

constexpr int exit_bad_setting = 2;
constexpr int exit_cannot_listen = 1;
constexpr std::uint64_t max_audit_entries = 10000;

struct operator_settings
{
    medlar::endpoint listen;
    std::vector<medlar::endpoint> store;
    std::optional<medlar::endpoint> gateway;
};

absl::Status bad_setting(absl::string_view flag, absl::string_view message)
{
    return medlar::make_error(absl::StatusCode::kInvalidArgument,
                              medlar::error_number::bad_setting,
                              absl::StrCat("--", flag, ": ", message));
}

absl::Status check_numbers()
{
    if (FLAGS_store_timeout_ms <= 0)
    {
        return bad_setting("store_timeout_ms", "must be over 0");
    }
    if (FLAGS_gateway_timeout_ms <= 0)
    {
        return bad_setting("gateway_timeout_ms", "must be over 0");
    }
    if (FLAGS_audit_entries == 0 || FLAGS_audit_entries > max_audit_entries)
    {
        return bad_setting("audit_entries",
                           absl::StrCat("must be from 1 to ", max_audit_entries));
    }
    return absl::OkStatus();
}

absl::StatusOr<operator_settings> read_settings()
{
    operator_settings settings;
    const auto listen = medlar::parse_endpoint(FLAGS_listen);
    if (!listen.ok())
    {
        return bad_setting("listen", listen.status().message());
    }
    const auto store = medlar::parse_endpoints(FLAGS_store);
    if (!store.ok() || store->empty())
    {
        return bad_setting("store", store.ok() ? "is empty" : store.status().message());
    }
    settings.listen = *listen;
    settings.store = *store;
    if (!FLAGS_gateway.empty())
    {
        const auto gateway = medlar::parse_endpoint(FLAGS_gateway);
        if (!gateway.ok())
        {
            return bad_setting("gateway", gateway.status().message());
        }
        settings.gateway = *gateway;
    }
    const absl::Status numbers = check_numbers();
    if (!numbers.ok())
    {
        return numbers;
    }
    return settings;
}

sigset_t block_termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int serve(const operator_settings& settings, const sigset_t& signals)
{
    const medlar::clock time = medlar::clock::system();
    const auto store = medlar::store_client::create(
        settings.store, medlar::millis(FLAGS_store_timeout_ms));
    const auto links = medlar::link_client::create();
    const auto fleet = medlar::fleet_service::create(
        *store, *links, settings.gateway, medlar::millis(FLAGS_gateway_timeout_ms));
    const auto changes =
        medlar::change_service::create(*store, time, FLAGS_audit_entries);
    const auto views =
        medlar::view_service::create(*store, time, *fleet, changes->audit());
    const auto orders = medlar::order_service::create(*store, time, *changes);
    const auto server = medlar::operators_server::create(
        settings.listen, {*changes, *views, *orders, *fleet});
    if (!server.ok())
    {
        std::cerr << server.status().message() << "\n";
        return exit_cannot_listen;
    }
    const std::string where = to_string((*server)->where());
    std::cout << "listening " << where << std::endl;
    medlar::log_event(medlar::operator_started, {{"listen", where}});
    int caught = 0;
    sigwait(&signals, &caught);
    (*server)->stop();
    medlar::log_event(medlar::operator_stopped, {});
    return 0;
}

} // namespace

/// Serves the gRPC interface defined in proto/medlar.proto.
int main(int argc, char** argv)
{
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    const absl::StatusOr<operator_settings> settings =
        loaded.ok() ? read_settings() : absl::StatusOr<operator_settings>(loaded);
    if (FLAGS_check)
    {
        medlar::print_settings(std::cout);
    }
    if (!settings.ok())
    {
        std::cerr << settings.status().message() << "\n";
        return exit_bad_setting;
    }
    if (FLAGS_check)
    {
        return 0;
    }
    const sigset_t signals = block_termination_signals();
    medlar::open_log("medlar-operator");
    return serve(*settings, signals);
}
