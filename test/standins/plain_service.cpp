#include "standins/shared/plain_target.hpp"
#include "standins/shared/run_until_signal.hpp"

#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_int32(slots, 4, "number of calls executed concurrently");
DEFINE_double(fixed_us, 500, "microseconds per call");
DEFINE_double(per_byte_us, 0.5, "microseconds per byte of input");
DEFINE_int64(report_lag_ms, 200, "age of load reports in milliseconds");

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
    standins::plain_settings settings;
    settings.listen = *listen;
    settings.slots = FLAGS_slots;
    settings.fixed_us = FLAGS_fixed_us;
    settings.per_byte_us = FLAGS_per_byte_us;
    settings.report_lag = medlar::millis(FLAGS_report_lag_ms);
    standins::plain_target service(settings);
    standins::run_until_signal(service.where());
    return 0;
}
