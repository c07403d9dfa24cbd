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

/// @brief a request whose run must be owned
struct owned_request
{
    request_key key;
    body_digest digest;
    wall_time issued_at;
    /// its caller states that it was never sent before
    bool first_attempt = false;
    /// until when it may wait for its home to settle
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

/// @brief its home, or its runner, is another process; relay it there
struct run_elsewhere
{
    view_member home;
};

/// @brief its answer or refusal is known
struct answer_now
{
    final_answer answer;
};

using placement = std::variant<run_here, join_here, run_elsewhere, answer_now>;

/// @brief what this gateway process is
struct exchange_settings
{
    view_member self;
    ownership_timing timing;
    /// addresses of peers' links for a host whose view and controller tell it none
    std::vector<endpoint> seeds;
    millis call_timeout{400};
};

/// @brief what is in force at this gateway
struct exchange_status
{
    host_id host;
    incarnation process;
    revision configuration;
    /// since the controller or a peer last confirmed the configuration
    millis configuration_age{0};
    view_epoch adopted{0};
    view_epoch newest{0};
    bool member = false;
    bool lease_valid = false;
    bool may_propose = false;
    std::size_t claims = 0;
    /// members of the view not heard from for longer than a lease
    std::vector<incarnation> not_heard;
    /// processes that answer but are in no view
    std::vector<view_member> waiting;
    /// processes that have asked to be left out of the view, this one included
    std::vector<incarnation> leaving;
};

/// @brief the JSON form of a status: an object of the struct's field names, durations
/// in milliseconds and links as "ADDRESS:PORT"
std::string write_exchange_status(const exchange_status& status);

/// @brief A gateway's exchange with its peers and its controller: lease grants, view
/// changes, handover, claims, and the spread of configuration from host to host.
///
/// Runs its own threads. Rests on ownership.hpp for every decision.
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

    /// @brief Decides where a request runs, and opens its claim if it is here. Waits
    /// while its home is not settled, until owned_request::wait_until.
    virtual placement place(const owned_request& request) = 0;

    /// @brief Ends a run with its answer, wakes those that joined it, and tells the
    /// home if it has changed meanwhile.
    virtual void finish(const request_key& key, const final_answer& answer) = 0;

    /// @brief Ends a run of which nothing was handed to the network; a later attempt
    /// may run. Those that joined it get @p refusal.
    virtual void withdraw(const request_key& key, const outcome& refusal) = 0;

    /// @brief Waits for the answer of a request that runs here.
    /// @return unset if it is not there by @p until
    virtual std::optional<final_answer> wait_for_answer(const request_key& key,
                                                        steady_time until) = 0;

    // configuration

    /// @brief the configuration in force, never nullptr; revision 0: none yet
    virtual std::shared_ptr<const accepted_document> configuration() const = 0;

    /// @brief Called with each newer configuration, and once with the present one.
    virtual void
    on_configuration(std::function<void(const accepted_document&)> listener) = 0;

    /// @brief Called with the targets that get no new work, whenever they change.
    virtual void
    on_leaving(std::function<void(const std::vector<target_id>&)> listener) = 0;

    /// @brief Adds a target that has itself refused work because it is leaving.
    virtual void target_is_leaving(const target_id& target) = 0;

    // peers

    /// @brief Answers a call on one of the paths of docs/LINKS.md that are not of the
    /// request path.
    /// @return unset if the path is another's
    virtual std::optional<int> handle(const link_request& request,
                                      link_responder& responder) = 0;

    /// @brief members of the adopted view and other known gateways, this one left out
    virtual std::vector<view_member> peers() const = 0;

    virtual exchange_status status() const = 0;

    /// @brief Asks the controllers to take this process out of the view, hands over what
    /// it owns, and returns when all is handed over or @p until has come.
    /// @return whether all was handed over; false as soon as nothing runs here if no
    ///     other process could take over
    /// @note While the store is out nobody can change the view: it stays a member, goes
    ///     on accepting what it is the home of, and returns false at @p until.
    virtual bool leave(steady_time until) = 0;

    /// @brief Stops to grant, to renew and to accept; the rest goes on.
    /// @note To be called before the link server is closed: peers take an address that
    ///     answers with another incarnation as proof that this process has stopped.
    virtual void stop() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_HPP
