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

/// @brief how the host list is read
struct host_list_settings
{
    endpoint where;
    /// pause between readings
    millis period{2000};
    millis timeout{1000};
    /// link address of the gateway of this host, which is no peer of itself
    endpoint gateway;
};

/// @brief Reads the host list and tells the gateway which targets leave and which other
/// gateways there are. While the list does not answer, what was read last stays.
class target_controller
{
  public:
    target_controller(gateway_feed& feed, const host_list_settings& settings);

    /// @brief Reads until @p stop.
    void run(stop_signal& stop);

    /// @brief Reads once.
    void read();

    /// @brief Ends a reading in progress.
    void close();

  private:
    void take(absl::string_view body);
    void note_failure(const absl::Status& failure);

    gateway_feed& feed_;
    host_list_settings settings_;
    http_pool pool_;
    std::set<target_id> leaving_;
    bool unreachable_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_TARGET_CONTROLLER_HPP
