#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/log/event.hpp>
#include <medlar/detail/log/replay_events.hpp>
#include <medlar/detail/replay/caller.hpp>
#include <medlar/detail/replay/executions.hpp>
#include <medlar/detail/replay/player.hpp>
#include <medlar/detail/replay/report.hpp>
#include <medlar/detail/replay/trace.hpp>
#include <medlar/detail/replay/trace_writer.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>

DEFINE_string(trace, "", "file of the trace to replay");
DEFINE_string(gateways, "", "addresses of gateways, ADDRESS:PORT,ADDRESS:PORT");
DEFINE_string(executions, "", "addresses of targets that count their executions");
DEFINE_string(output, "text", "format of the report: text or json");
DEFINE_string(id_prefix, "", "prefix of each request id, to replay a trace again");
DEFINE_bool(idempotent_only, false, "send all requests as idempotent");
DEFINE_int32(connections, 400, "maximum number of requests in flight");
DEFINE_int64(patience_ms, 15000, "time after its deadline when a request counts as lost");
DEFINE_string(write_trace, "", "kind of trace to generate on standard output");
DEFINE_uint64(seed, 1, "seed of the generated trace");
DEFINE_bool(check, false, "print the settings and exit");

namespace
{

constexpr int exit_expectations_met = 0;
constexpr int exit_expectations_unmet = 1;
constexpr int exit_cannot_run = 2;

using medlar::trace;

int fail(const absl::Status& error)
{
    medlar::log_event(medlar::replay_failed, {{"cause", error.message()}});
    return exit_cannot_run;
}

int write_new_trace()
{
    const absl::StatusOr<trace> generated =
        medlar::generate_trace(FLAGS_write_trace, FLAGS_seed);
    if (!generated.ok())
    {
        return fail(generated.status());
    }
    medlar::write_trace(std::cout, *generated);
    return exit_expectations_met;
}

absl::StatusOr<trace> load_trace()
{
    std::ifstream file(FLAGS_trace);
    if (!file)
    {
        return absl::NotFoundError("--trace: cannot read '" + FLAGS_trace + "'");
    }
    absl::StatusOr<trace> content = medlar::read_trace(file);
    if (content.ok() && FLAGS_idempotent_only)
    {
        for (medlar::trace_request& each : content->requests)
        {
            each.idempotent = true;
        }
    }
    return content;
}

absl::StatusOr<medlar::caller_settings> load_caller_settings()
{
    absl::StatusOr<std::vector<medlar::endpoint>> gateways =
        medlar::parse_endpoints(FLAGS_gateways);
    if (!gateways.ok())
    {
        return gateways.status();
    }
    if (gateways->empty())
    {
        return absl::InvalidArgumentError("--gateways is empty");
    }
    medlar::caller_settings settings;
    settings.gateways = *std::move(gateways);
    settings.loss_timeout = medlar::millis(FLAGS_patience_ms);
    settings.id_prefix = FLAGS_id_prefix;
    return settings;
}

absl::StatusOr<medlar::execution_counts> fetch_execution_counts()
{
    const absl::StatusOr<std::vector<medlar::endpoint>> targets =
        medlar::parse_endpoints(FLAGS_executions);
    if (!targets.ok())
    {
        return targets.status();
    }
    return medlar::fetch_executions(*targets);
}

int replay(const trace& content, const medlar::caller_settings& settings)
{
    const medlar::clock time = medlar::clock::system();
    medlar::caller sender(settings, time);
    medlar::log_event(medlar::replay_started,
                      {{"trace", content.header.name},
                       {"requests", static_cast<std::int64_t>(content.requests.size())}});
    const std::vector<medlar::replayed_request> results =
        medlar::replay_trace(content, sender, time, FLAGS_connections);
    medlar::log_event(medlar::replay_finished, {{"trace", content.header.name}});
    const absl::StatusOr<medlar::execution_counts> executions = fetch_execution_counts();
    if (!executions.ok())
    {
        return fail(executions.status());
    }
    const medlar::replay_report report =
        medlar::make_report(content.header, results, *executions);
    const bool as_json = FLAGS_output == "json";
    std::cout << (as_json ? medlar::write_json(report) + "\n"
                          : medlar::write_text(report))
              << medlar::summary_line(report) << std::endl;
    return report.unmet.empty() ? exit_expectations_met : exit_expectations_unmet;
}

} // namespace

/// Replays a trace against gateways, or generates one. Exit codes: 0 all expectations
/// are met, 1 some are not met, 2 the replay could not run.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(
        "medlar-replay --trace FILE --gateways LIST | --write_trace KIND");
    medlar::open_log("medlar-replay");
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    if (!loaded.ok())
    {
        return fail(loaded);
    }
    if (FLAGS_check)
    {
        medlar::print_settings(std::cout);
        return exit_expectations_met;
    }
    if (!FLAGS_write_trace.empty())
    {
        return write_new_trace();
    }
    const absl::StatusOr<trace> content = load_trace();
    if (!content.ok())
    {
        return fail(content.status());
    }
    const absl::StatusOr<medlar::caller_settings> settings = load_caller_settings();
    if (!settings.ok())
    {
        return fail(settings.status());
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
    {
        return fail(absl::InvalidArgumentError("--output is neither text nor json"));
    }
    return replay(*content, *settings);
}
