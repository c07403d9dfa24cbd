#ifndef MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/ownership/claim_table.hpp>
#include <medlar/detail/ownership/ownership.hpp>
#include <medlar/detail/ownership/timing.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlar
{

/// @brief a request that may run only at the process that owns it
struct owned_request
{
    request_key key;
    body_digest digest;
    wall_time issued_at;
    /// the caller states that it was never sent before
    bool first_attempt = false;
    /// until when it may wait for its home to be settled
    steady_time wait_until;
};

/// @brief the claim is open; the caller of place() runs it and must call finish() or
/// withdraw()
struct run_here
{
};

/// @brief the same request runs here already; wait for it with wait_for_answer()
struct join_here
{
};

/// @brief its home or runner is another process; relay it there
struct run_elsewhere
{
    view_member home;
};

/// @brief the answer or refusal to send
struct answer_now
{
    final_answer answer;
};

using placement = std::variant<run_here, join_here, run_elsewhere, answer_now>;

/// @brief identity, timing and seed addresses of this gateway process
struct exchange_settings
{
    view_member self;
    ownership_timing timing;
    /// link addresses of peers, used when neither the view nor the controller has any
    std::vector<endpoint> seeds;
    millis call_timeout{400};
};

/// @brief state of this gateway as reported to its controller and to operators
struct exchange_status
{
    host_id host;
    incarnation process;
    revision configuration;
    /// time since the controller or a peer last confirmed the configuration
    millis configuration_age{0};
    view_epoch adopted{0};
    view_epoch newest{0};
    bool member = false;
    bool lease_valid = false;
    bool may_propose = false;
    std::size_t claims = 0;
    /// members of the view that have been silent for longer than a lease, by a majority
    std::vector<incarnation> not_heard;
    /// processes that respond but belong to no view
    std::vector<view_member> waiting;
    /// processes that have asked to be left out of the view, this one included
    std::vector<incarnation> leaving;
};

/// @brief Returns a status as a JSON object with the struct's field names, durations in
/// milliseconds and links as "ADDRESS:PORT".
std::string write_exchange_status(const exchange_status& status);

/// @brief A gateway's exchange with its peers and its controller: lease grants, view
/// changes, handover, claims, and the distribution of the configuration by gossip.
///
/// Runs its own threads. Every decision on ownership is made in ownership.hpp.
/// @note Safe to call from every thread.
class exchange
{
  public:
    static std::unique_ptr<exchange> create(const exchange_settings& settings,
                                            clock& time,
                                            claim_table& claims,
                                            link_client& links);

    virtual ~exchange() = default;

    // ownership

    /// @brief Decides where a request runs, and opens its claim if it runs here. Waits
    /// until its home is settled, at most until owned_request::wait_until.
    virtual placement place(const owned_request& request) = 0;

    /// @brief Ends a run with its answer, wakes the requests that joined it, and sends
    /// the answer to the home if that has changed meanwhile.
    virtual void finish(const request_key& key, const final_answer& answer) = 0;

    /// @brief Ends a run of which nothing was sent to the network; a later attempt may
    /// run. The requests that joined it get @p refusal.
    virtual void withdraw(const request_key& key, const outcome& refusal) = 0;

    /// @brief Waits for the answer of a request that runs here.
    /// @return unset if there is none by @p until
    virtual std::optional<final_answer> wait_for_answer(const request_key& key,
                                                        steady_time until) = 0;

    // configuration

    /// @brief the configuration in force, never nullptr; revision 0 if none was received
    virtual std::shared_ptr<const accepted_document> configuration() const = 0;

    /// @brief Calls @p listener at once with the current configuration, then with each
    /// newer one.
    virtual void
    on_configuration(std::function<void(const accepted_document&)> listener) = 0;

    /// @brief Calls @p listener with the targets that get no new work, at once and after
    /// each change.
    virtual void
    on_leaving(std::function<void(const std::vector<target_id>&)> listener) = 0;

    /// @brief Adds a target that has refused work because it is leaving.
    virtual void report_leaving_target(const target_id& target) = 0;

    // peers

    /// @brief Answers a call on one of the paths of docs/LINKS.md that don't belong to
    /// the request path.
    /// @return the status; unset if the path is not handled here
    virtual std::optional<int> handle(const link_request& request,
                                      link_responder& responder) = 0;

    /// @brief members of the adopted view and other known gateways, without this one
    virtual std::vector<view_member> peers() const = 0;

    virtual exchange_status status() const = 0;

    /// @brief Asks the controllers to remove this process from the view and hands over
    /// what it owns. Returns when everything is handed over, or at @p until.
    /// @return whether everything was handed over; false as soon as nothing runs here if
    ///     no other process could take over
    /// @note While the store is unavailable the view cannot change: this process stays a
    ///     member, still accepts the requests that it is the home of, and returns false
    ///     at @p until.
    virtual bool leave(steady_time until) = 0;

    /// @brief Stops granting and renewing leases and accepting requests; everything else
    /// continues.
    /// @note Call it before the link server is closed: peers take another incarnation
    ///     that answers at this address as proof that this process has stopped.
    virtual void stop() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_HPP
