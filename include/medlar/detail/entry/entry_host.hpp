#ifndef MEDLAR_DETAIL_ENTRY_ENTRY_HOST_HPP
#define MEDLAR_DETAIL_ENTRY_ENTRY_HOST_HPP

#include <medlar/detail/dispatch/explain_question.hpp>
#include <medlar/detail/dispatch/route_decision.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/memory_controller.hpp>
#include <medlar/detail/entry/piece_broker.hpp>
#include <medlar/detail/entry/piece_service.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/hosts/crash_controller.hpp>
#include <medlar/detail/hosts/evacuation_controller.hpp>
#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/hosts/path_controller.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/process_ends.hpp>
#include <medlar/detail/hosts/slow_start_controller.hpp>
#include <medlar/detail/hosts/speed_controller.hpp>
#include <medlar/detail/hosts/store_controller.hpp>
#include <medlar/detail/hosts/store_mirror.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>

namespace medlar
{

/// @brief One entry process: accepts callers' requests and forwards them to targets.
class entry_host
{
  public:
    using settings_reader = std::function<absl::StatusOr<entry_settings>()>;

    /// @brief Creates a host that listens on its addresses and starts reading the store.
    /// @param read_settings reads the settings again, for reload()
    /// @return error 901 if an address cannot be listened on
    static absl::StatusOr<std::unique_ptr<entry_host>>
    create(event_loop& loop,
           const entry_protocol& protocol,
           const entry_settings& settings,
           settings_reader read_settings);

    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// @brief Reports not ready and shuts down once the running requests have ended.
    void drain();

    /// @brief Reads the settings again and applies those that can change at run time.
    void reload();

    /// @brief Returns whether draining is complete, or its grace period is over.
    bool is_finished() const;

  private:
    /// messages of one kind
    struct passed_over_messages
    {
        std::optional<steady_time> logged_at;
        std::uint64_t unlogged = 0;
    };

    entry_host(event_loop& loop,
               const entry_protocol& protocol,
               const entry_settings& settings,
               settings_reader read_settings);

    absl::Status listen();
    void serve(const std::shared_ptr<caller_exchange>& exchange, bool is_forwarded);
    route_decision route_for(const request_head& head,
                             const request_fields& fields,
                             bool is_forwarded) const;
    run_services services();
    /// whether this host has lost the path to a pool of a route
    bool lacks_path(const route& wanted) const;
    void serve_readiness(const std::shared_ptr<caller_exchange>& exchange) const;
    void serve_metrics(const std::shared_ptr<caller_exchange>& exchange);
    // explanations, see entry_explanation.cpp
    void serve_explanation(const std::shared_ptr<caller_exchange>& exchange);
    nlohmann::json explain(const explain_question& question);
    nlohmann::json explain_unrouted(const explain_question& question,
                                    const route_decision& decided) const;
    void send_error_reply(const std::shared_ptr<caller_exchange>& exchange,
                          const request_fields& fields,
                          const route_decision& decided);
    /// headers of the answer to a request that has no route
    std::vector<header_field> headers_without_route(int status) const;
    /// whether this host knows what it needs to serve requests
    bool has_started() const;
    bool is_ready() const;
    bool accepts_requests() const;

    /// Has a message of another host handled; passes it over if it is of an unknown type,
    /// or if it cannot be read, which a handler finds out before it changes anything.
    /// @param handle returns false if the type is unknown
    void read_message(const nlohmann::json& message, const std::function<bool()>& handle);
    void pass_over(const std::string& kind, const std::string& why);

    void on_item_changed(const store_item& item);
    void on_item_expired(const std::string& key, steady_time until);
    void on_configuration_changed(const store_item& item);
    void on_target_changed(const target_id& id, const store_item& item);
    void on_host_changed(const host_id& id, const store_item& item);
    void drop_lapsed_hosts();
    void tick();
    /// ends requests that cannot be answered before the host stops
    void continue_shutdown();

    event_loop& loop_;
    entry_settings settings_;
    settings_reader read_settings_;
    server_limits caller_limits_;
    server_limits forward_limits_;
    server_limits inner_limits_;
    entry_context context_;
    peer_network peers_;
    path_controller path_controller_;
    limit_controller limit_controller_;
    slow_start_controller slow_start_controller_;
    speed_controller speed_controller_;
    piece_service piece_service_;
    piece_broker broker_;
    store_mirror store_mirror_;
    evacuation_controller evacuations_;
    store_controller store_controller_;
    crash_controller crash_controller_;
    stream_origins stream_origins_;
    process_ends process_ends_;
    /// hosts whose registrations lapsed in an outage of the store, and until when they
    /// are kept
    std::map<host_id, steady_time> lapsed_hosts_;
    memory_controller memory_controller_;
    std::map<std::string, passed_over_messages> passed_over_;
    /// whether the start is over, and each change is logged
    bool is_serving_ = false;
    std::unique_ptr<http_server> caller_server_;
    /// for requests that other hosts forward
    std::unique_ptr<http_server> forward_server_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> metrics_server_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_ENTRY_HOST_HPP
