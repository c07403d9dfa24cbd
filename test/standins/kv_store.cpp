#include "standins/shared/kv_server.hpp"
#include "standins/shared/run_until_signal.hpp"

#include <medlar/detail/settings/settings.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_int32(min_session_ttl_ms,
             10000,
             "shortest time to live of a session in milliseconds");

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
    standins::kv_server store(*listen,
                              std::chrono::milliseconds(FLAGS_min_session_ttl_ms));
    std::cout << "control " << to_string(store.serve_control()) << std::endl;
    standins::run_until_signal(store.where());
    return 0;
}
