#include "standins/shared/host_list_server.hpp"
#include "standins/shared/run_until_signal.hpp"

#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_int32(lag_ms, 1000, "milliseconds until a change of the list is served");

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
    const standins::host_list_server list(*listen, medlar::millis(FLAGS_lag_ms));
    standins::run_until_signal(list.where());
    return 0;
}
