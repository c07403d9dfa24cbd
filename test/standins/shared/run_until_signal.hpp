#ifndef MEDLAR_TEST_STANDINS_RUN_UNTIL_SIGNAL_HPP
#define MEDLAR_TEST_STANDINS_RUN_UNTIL_SIGNAL_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <csignal>
#include <iostream>

namespace standins
{

/// @brief Keeps SIGTERM and SIGINT for run_until_signal(); called before any thread is
/// started. A broken connection must not end the process.
inline void hold_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// @brief Prints where a stand-in listens and waits for SIGTERM or SIGINT.
inline void run_until_signal(const medlar::endpoint& where)
{
    std::cout << "listening " << to_string(where) << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int caught = 0;
    sigwait(&signals, &caught);
}

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_RUN_UNTIL_SIGNAL_HPP
