#include <medlar/detail/base/error.hpp>
#include <medlar/detail/controller/controller_process.hpp>
#include <medlar/detail/controller/metrics_page.hpp>
#include <medlar/detail/log/controller_events.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <random>

DEFINE_bool(check, false, "print the settings and their sources, and exit");
DEFINE_string(host_id, "", "name of this host");
DEFINE_string(failure_domain, "", "failure domain of this host");
DEFINE_string(listen, "127.0.0.1:0", "address and port of the metrics endpoint");
DEFINE_string(gateway, "", "link address and port of the gateway of this host");
DEFINE_string(store, "", "addresses and ports of the key-value store, tried in turn");
DEFINE_int32(store_timeout_ms, 2000, "timeout of calls to the key-value store");
DEFINE_int32(watch_wait_ms, 60000, "maximum duration of a watch on the key-value store");
DEFINE_string(host_list, "", "address and port of the host list; empty: none");
DEFINE_int32(host_list_period_ms, 2000, "interval of reading the host list");
DEFINE_int32(heartbeat_ms, 1000, "interval of pushes to the gateway");
DEFINE_int32(eviction_ms,
             1000,
             "time a member is reported unreachable before it is removed from the view");
DEFINE_int32(settle_ms, 300, "time without further changes before a view is proposed");
DEFINE_int32(stagger_ms,
             150,
             "additional delay of each further gateway in proposing a view");
DEFINE_bool(orders, true, "whether this host may send orders to engines");
DEFINE_int32(order_lease_ms, 15000, "duration of the lease on sending orders");
DEFINE_int32(order_period_ms, 5000, "interval of rounds of orders");
DEFINE_int32(order_verify_ms,
             30000,
             "interval of checking an engine that fulfils all orders");
DEFINE_int32(order_timeout_ms, 5000, "timeout of calls to an engine");
DEFINE_int32(order_candidates, 3, "number of members of the view that may send orders");
DEFINE_int32(max_loads,
             4,
             "maximum number of weight loads of all hosts in a load period");
DEFINE_int32(load_period_ms, 60000, "duration of a load period");

namespace
{

constexpr int exit_bad_setting = 2;
constexpr int min_duration_ms = 10;
constexpr int max_duration_ms = 600000;
constexpr int max_count = 10000;

/// @brief Validates settings and keeps the first error.
class setting_validator
{
  public:
    medlar::endpoint address(const char* name, const std::string& value)
    {
        const absl::StatusOr<medlar::endpoint> read = medlar::parse_endpoint(value);
        record_error(name, read.status());
        return read.value_or(medlar::endpoint());
    }

    std::vector<medlar::endpoint> addresses(const char* name, const std::string& value)
    {
        const auto read = medlar::parse_endpoints(value);
        record_error(name, read.status());
        if (read.ok() && read->empty())
        {
            record_error(name, absl::InvalidArgumentError("is empty"));
        }
        return read.value_or(std::vector<medlar::endpoint>());
    }

    std::string text(const char* name, const std::string& value)
    {
        if (value.empty())
        {
            record_error(name, absl::InvalidArgumentError("is empty"));
        }
        return value;
    }

    medlar::millis duration(const char* name, int value)
    {
        if (value < min_duration_ms || value > max_duration_ms)
        {
            record_error(
                name,
                absl::InvalidArgumentError(absl::StrCat(
                    value, " is not from ", min_duration_ms, " to ", max_duration_ms)));
        }
        return medlar::millis(value);
    }

    int count(const char* name, int value)
    {
        if (value < 1 || value > max_count)
        {
            record_error(name,
                         absl::InvalidArgumentError(
                             absl::StrCat(value, " is not from 1 to ", max_count)));
        }
        return value;
    }

    const absl::Status& first_error() const
    {
        return first_error_;
    }

  private:
    void record_error(const char* name, const absl::Status& status)
    {
        if (!status.ok() && first_error_.ok())
        {
            first_error_ =
                medlar::make_error(absl::StatusCode::kInvalidArgument,
                                   medlar::error_number::bad_setting,
                                   absl::StrCat("--", name, ": ", status.message()));
        }
    }

    absl::Status first_error_;
};

medlar::order_settings read_order_settings(setting_validator& validator)
{
    medlar::order_settings orders;
    orders.self = medlar::host_id(FLAGS_host_id);
    orders.lease_duration = validator.duration("order_lease_ms", FLAGS_order_lease_ms);
    orders.round_interval = validator.duration("order_period_ms", FLAGS_order_period_ms);
    orders.verify_interval = validator.duration("order_verify_ms", FLAGS_order_verify_ms);
    orders.timeout = validator.duration("order_timeout_ms", FLAGS_order_timeout_ms);
    orders.max_loads = validator.count("max_loads", FLAGS_max_loads);
    orders.load_period = validator.duration("load_period_ms", FLAGS_load_period_ms);
    orders.max_candidates = static_cast<std::size_t>(
        validator.count("order_candidates", FLAGS_order_candidates));
    return orders;
}

absl::StatusOr<medlar::controller_settings> read_settings()
{
    setting_validator validator;
    medlar::controller_settings settings;
    settings.self = medlar::host_id(validator.text("host_id", FLAGS_host_id));
    settings.listen = validator.address("listen", FLAGS_listen);
    settings.gateway = validator.address("gateway", FLAGS_gateway);
    settings.store = validator.addresses("store", FLAGS_store);
    settings.store_timeout =
        validator.duration("store_timeout_ms", FLAGS_store_timeout_ms);
    settings.heartbeat = validator.duration("heartbeat_ms", FLAGS_heartbeat_ms);
    settings.watch.max_wait = validator.duration("watch_wait_ms", FLAGS_watch_wait_ms);
    settings.watch.seed = std::random_device()();
    settings.view.gateway = settings.gateway;
    settings.view.failure_domain =
        medlar::failure_domain_id(validator.text("failure_domain", FLAGS_failure_domain));
    settings.view.eviction_delay = validator.duration("eviction_ms", FLAGS_eviction_ms);
    settings.view.settle_time = validator.duration("settle_ms", FLAGS_settle_ms);
    settings.view.stagger = validator.duration("stagger_ms", FLAGS_stagger_ms);
    if (!FLAGS_host_list.empty())
    {
        medlar::host_list_settings hosts;
        hosts.address = validator.address("host_list", FLAGS_host_list);
        hosts.poll_interval =
            validator.duration("host_list_period_ms", FLAGS_host_list_period_ms);
        hosts.gateway = settings.gateway;
        settings.host_list = hosts;
    }
    const medlar::order_settings orders = read_order_settings(validator);
    if (FLAGS_orders)
    {
        settings.orders = orders;
    }
    if (!validator.first_error().ok())
    {
        return validator.first_error();
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

} // namespace

int main(int argc, char** argv)
{
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    const absl::StatusOr<medlar::controller_settings> settings = read_settings();
    if (!loaded.ok() || !settings.ok())
    {
        std::cerr << (loaded.ok() ? settings.status() : loaded) << std::endl;
        return exit_bad_setting;
    }
    if (FLAGS_check)
    {
        medlar::print_settings(std::cout);
        return 0;
    }
    const sigset_t signals = block_termination_signals();
    medlar::open_log("medlar-controller");
    const medlar::clock time = medlar::clock::system();
    medlar::log_event(medlar::controller_started, {{"host", settings->self.get()}});
    auto process = medlar::controller_process::create(*settings, time);
    auto page = medlar::metrics_page::create(settings->listen,
                                             [&process]
                                             {
                                                 return process->metrics_text();
                                             });
    if (!page.ok())
    {
        std::cerr << page.status() << std::endl;
        return exit_bad_setting;
    }
    std::cout << "listening " << to_string((*page)->where()) << std::endl;
    int caught = 0;
    sigwait(&signals, &caught);
    page->reset();
    process.reset();
    medlar::log_event(medlar::controller_stopped, {{"host", settings->self.get()}});
    return 0;
}
