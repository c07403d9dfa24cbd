#include "standins/shared/engine_target.hpp"
#include "standins/shared/run_until_signal.hpp"

#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_int32(slots, 8, "number of calls executed concurrently");
DEFINE_double(token_us, 2000, "microseconds per generated token");
DEFINE_double(prompt_token_us, 20, "microseconds per prompt token that is not cached");
DEFINE_double(batch_slowdown,
              0.05,
              "fraction of token_us added for each further call in the batch");
DEFINE_int32(default_tokens, 32, "tokens generated for a call without a limit");
DEFINE_int64(cache_tokens, 20000, "capacity of the prefix cache in tokens");
DEFINE_int64(report_lag_ms, 500, "age of load reports in milliseconds");
DEFINE_int64(event_delay_ms, 500, "delay of cache events in milliseconds");
DEFINE_int32(event_gap_every, 7, "every n-th cache event is left out; 0: none");
DEFINE_bool(checks_fencing, true, "refuse orders with old fencing numbers");
DEFINE_int64(load_time_ms, 200, "milliseconds to load a model");
DEFINE_string(model, "m", "model that is loaded at startup");

int main(int argc, char** argv)
{
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    const absl::StatusOr<medlar::endpoint> listen = medlar::parse_endpoint(FLAGS_listen);
    if (!loaded.ok() || !listen.ok())
    {
        std::cerr << loaded << " " << listen.status() << std::endl;
        return 2;
    }
    standins::hold_signals();
    standins::engine_settings settings;
    settings.listen = *listen;
    settings.slots = FLAGS_slots;
    settings.token_us = FLAGS_token_us;
    settings.prompt_token_us = FLAGS_prompt_token_us;
    settings.batch_slowdown = FLAGS_batch_slowdown;
    settings.default_tokens = FLAGS_default_tokens;
    settings.cache_tokens = FLAGS_cache_tokens;
    settings.report_lag = medlar::millis(FLAGS_report_lag_ms);
    settings.event_delay = medlar::millis(FLAGS_event_delay_ms);
    settings.event_gap_every = FLAGS_event_gap_every;
    settings.checks_fencing = FLAGS_checks_fencing;
    settings.load_time = medlar::millis(FLAGS_load_time_ms);
    settings.model = FLAGS_model;
    standins::engine_target engine(settings);
    standins::run_until_signal(engine.where());
    return 0;
}
