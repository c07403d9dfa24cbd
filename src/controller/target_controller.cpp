#include <medlar/detail/cluster/host_list.hpp>
#include <medlar/detail/controller/target_controller.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/controller_events.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

/// @brief Returns the valid addresses without @p self.
std::vector<endpoint> peers_of(const std::vector<std::string>& addresses,
                               const endpoint& self)
{
    std::vector<endpoint> peers;
    for (const std::string& address : addresses)
    {
        const absl::StatusOr<endpoint> peer = parse_endpoint(address);
        if (peer.ok() && *peer != self)
        {
            peers.push_back(*peer);
        }
    }
    return peers;
}

} // namespace

target_controller::target_controller(gateway_feed& feed,
                                     const host_list_settings& settings)
    : feed_(feed), settings_(settings), pool_(settings.address)
{
}

void target_controller::run(stop_signal& stop)
{
    do
    {
        read();
    } while (stop.pause(settings_.poll_interval));
}

void target_controller::close()
{
    pool_.close();
}

void target_controller::read()
{
    http_call call;
    call.target = "/v1/hosts";
    call.timeout = settings_.timeout;
    const absl::StatusOr<http_answer> answer = pool_.call(call);
    if (!answer.ok())
    {
        record_failure(answer.status());
        return;
    }
    if (answer->status != status_ok)
    {
        record_failure(absl::UnavailableError(absl::StrCat("status ", answer->status)));
        return;
    }
    handle_host_list(answer->body);
}

void target_controller::handle_host_list(absl::string_view body)
{
    const absl::StatusOr<std::vector<listed_host>> listed = parse_host_list(body);
    if (!listed.ok())
    {
        record_failure(listed.status());
        return;
    }
    if (std::exchange(unreachable_, false))
    {
        log_event(host_list_reachable, {});
    }
    std::set<target_id> leaving = next_leaving_targets(leaving_, *listed);
    if (leaving != leaving_)
    {
        log_event(leaving_targets_changed,
                  {{"leaving", static_cast<std::uint64_t>(leaving.size())}});
    }
    leaving_ = std::move(leaving);
    feed_.set_leaving({leaving_.begin(), leaving_.end()});
    feed_.set_peers(peers_of(gateway_addresses(*listed), settings_.gateway));
}

void target_controller::record_failure(const absl::Status& failure)
{
    if (!std::exchange(unreachable_, true))
    {
        log_event(host_list_unreachable, {{"error", failure.message()}});
    }
}

} // namespace medlar
