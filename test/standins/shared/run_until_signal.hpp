#ifndef MEDLAR_TEST_STANDINS_RUN_UNTIL_SIGNAL_HPP
#define MEDLAR_TEST_STANDINS_RUN_UNTIL_SIGNAL_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <csignal>
#include <iostream>

namespace standins
{

/// @brief Blocks SIGTERM and SIGINT for run_until_signal(). Must be called before any
/// thread is started, as threads inherit the mask. Ignores SIGPIPE, so that a broken
/// connection does not end the process.
inline void hold_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// @brief Prints the address a stand-in listens on and waits for SIGTERM or SIGINT.
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
