#ifndef MEDLAR_DETAIL_CONTROLLER_TARGET_CONTROLLER_HPP
#define MEDLAR_DETAIL_CONTROLLER_TARGET_CONTROLLER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/controller/stop_signal.hpp>
#include <medlar/detail/store/http_pool.hpp>

#include <set>

namespace medlar
{

/// @brief Address and timing of reads of the host list.
struct host_list_settings
{
    endpoint address;
    /// time between reads
    millis poll_interval{2000};
    millis timeout{1000};
    /// link address of the gateway of this host, which is excluded from its peers
    endpoint gateway;
};

/// @brief Reads the host list and pushes the leaving targets and the other gateways to
/// the gateway of this host. While the list cannot be read, the last one read stays in
/// use.
class target_controller
{
  public:
    target_controller(gateway_feed& feed, const host_list_settings& settings);

    /// @brief Runs until @p stop is signalled.
    void run(stop_signal& stop);

    /// @brief Reads the host list once.
    void read();

    /// @brief Aborts a read in progress; later ones fail.
    void close();

  private:
    void handle_host_list(absl::string_view body);
    void record_failure(const absl::Status& failure);

    gateway_feed& feed_;
    host_list_settings settings_;
    http_pool pool_;
    std::set<target_id> leaving_;
    bool unreachable_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_TARGET_CONTROLLER_HPP
