#ifndef MEDLAR_TEST_SYSTEM_HARNESS_DEPLOYMENT_HPP
#define MEDLAR_TEST_SYSTEM_HARNESS_DEPLOYMENT_HPP

#include "http.hpp"
#include "process.hpp"

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/link/link.hpp>

#include <nlohmann/json.hpp>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar::testing
{

/// @brief options of start_host() that differ from the defaults
struct host_options
{
    /// store address passed to its controller and operator program; unset: the
    /// deployment's store
    std::optional<endpoint> store;
    /// link addresses of other gateways
    std::vector<endpoint> seeds;
    /// additional flags of its gateway
    std::vector<std::string> gateway_flags;
    /// link address to listen on; unset: a free one
    std::optional<endpoint> link;
};

/// @brief the processes of one entry host
struct host
{
    std::string name;
    endpoint api;
    endpoint link;
    endpoint operators;
    std::unique_ptr<process> gateway;
    std::unique_ptr<process> controller;
    std::unique_ptr<process> operator_program;
};

/// @brief a process that stands in for a target
struct target_process
{
    endpoint where;
    std::unique_ptr<process> running;
};

/// @brief a request as a caller sends it
struct sent_request
{
    std::string pipeline = "post";
    std::string id;
    std::int64_t issued_at_ms = 0;
    bool idempotent = false;
    bool first_attempt = false;
    std::int64_t deadline_ms = 20000;
    std::string text = "ledger line";
};

/// @brief A complete system of processes on loopback: stand-ins for the platform and the
/// targets, and entry hosts.
///
/// Pipelines: "post" (encode, rerank, and a non-idempotent call) and "draft"
/// (encode, retrieve, generate). Pools: "encoders" (2 plain services), "ledger" (2 plain
/// services) and "language" (2 engines). Organisation: "plant".
class deployment
{
  public:
    /// @param name prefix of the log files' names
    explicit deployment(std::string name);

    // setup

    /// @brief Starts the store, the host list and the targets.
    void start_platform();

    /// @brief Starts the processes of one host.
    host& start_host(const std::string& name, const host_options& options = {});

    /// @brief Starts the three hosts h1, h2 and h3, applies document() and waits until
    /// their view is settled.
    void start_three_hosts();

    /// @brief Applies the document through the first host's operator program.
    /// @return exit code of medlarctl
    int apply(const nlohmann::json& content);

    /// @brief Runs medlarctl with JSON output against one host.
    /// @return its exit code; @p output gets what it printed
    int control(const host& through,
                const std::vector<std::string>& arguments,
                nlohmann::json* output = nullptr);

    /// @brief the document that start_three_hosts() applies
    nlohmann::json document() const;

    // queries

    host& at(const std::string& name);

    /// @brief the status of a host's gateway; null if it does not answer
    nlohmann::json status(const host& of);

    /// @brief the view record in the store
    view_record stored_view();

    /// @brief Waits until the view consists of exactly these hosts and each holds a
    /// lease.
    void wait_settled(const std::vector<std::string>& names);

    /// @brief Waits until the current time is past the floor of every takeover, so that
    /// new requests are not refused as issued before ownership.
    void wait_past_margin();

    /// @brief name of the host that is the home of a request in the stored view
    std::string home_of_request(const std::string& id);

    /// @brief a new request id whose home is the given host
    std::string id_at_home(const std::string& host_name);

    /// @brief number of executions of a request's non-idempotent call
    int executions(const std::string& id);

    /// @brief maximum number of executions over all non-idempotent calls
    int max_executions();

    // requests and faults

    /// @brief Sends a request and waits for its reply.
    static http_reply send(const host& through, const sent_request& request);

    /// @brief Sends a request in a separate thread.
    static std::future<http_reply> send_async(const host& through,
                                              const sent_request& request);

    /// @brief Sets the faults of the store.
    void set_store(const nlohmann::json& switches);

    /// @brief Sets the faults of all targets of a pool.
    void set_pool(const std::string& pool, const nlohmann::json& switches);

    /// @brief a request with that id, issued at the current time
    static sent_request new_request(const std::string& id);

    // state; engine_flags must be set before start_platform()
    std::vector<std::string> engine_flags = {"--token_us=500"};
    endpoint store;
    endpoint store_control;
    endpoint host_list;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<target_process> encoders;
    std::vector<target_process> ledger;
    std::vector<target_process> language;

  private:
    target_process start_target(const std::string& program,
                                const std::vector<std::string>& flags);
    std::vector<target_process>& pool_of(const std::string& pool);
    std::string log_name(const std::string& part);

    std::string name_;
    int started_ = 0;
    std::uint64_t last_id_ = 0;
    std::unique_ptr<link_client> links_;
    std::unique_ptr<process> store_process_;
    std::unique_ptr<process> host_list_process_;
};

/// @brief the outcome field of a reply, such as "answered"; empty if there is none
std::string outcome_of(const http_reply& reply);

} // namespace medlar::testing

#endif // MEDLAR_TEST_SYSTEM_HARNESS_DEPLOYMENT_HPP
