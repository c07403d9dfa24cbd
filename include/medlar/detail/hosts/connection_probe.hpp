#ifndef MEDLAR_DETAIL_HOSTS_CONNECTION_PROBE_HPP
#define MEDLAR_DETAIL_HOSTS_CONNECTION_PROBE_HPP

#include <medlar/detail/loop/connection.hpp>

#include <functional>
#include <memory>

namespace medlar
{

/// @brief Outcome of an attempt to connect to an address.
enum class probe_result
{
    connected,
    refused,     ///< nothing listens there
    unreachable, ///< no answer in time
};

/// @brief Connects to an address once, and closes the connection without using it.
class connection_probe : public connection_handler
{
  public:
    /// @param delay time until it connects
    /// @param on_result called once; it may destroy the probe
    connection_probe(event_loop& loop,
                     const endpoint& where,
                     millis delay,
                     std::function<void(probe_result)> on_result);
    ~connection_probe() override;

    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

    void on_connected() override;
    void on_input() override;
    void on_end(connection_end reason) override;

  private:
    void finish(probe_result result);

    event_loop& loop_;
    std::function<void(probe_result)> on_result_;
    std::shared_ptr<connection> stream_;
    timer_id timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_CONNECTION_PROBE_HPP
