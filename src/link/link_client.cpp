#include <medlar/detail/base/error.hpp>
#include <medlar/detail/link/client_stream.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/peer_connection.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace medlar
{

namespace
{

/// interval at which a waiting call polls link_call::cancelled
constexpr millis cancel_check_interval{20};

/// @brief A call with the part of its answer received so far.
struct call_state
{
    const link_call& request;
    std::shared_ptr<client_stream> stream;
    std::shared_ptr<peer_connection> peer;
    steady_time deadline;
    link_reply reply;
};

absl::Status timeout_error(const endpoint& peer, bool begun)
{
    if (!begun)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::link_unreachable,
                          absl::StrCat("no call was sent to ",
                                       to_string(peer),
                                       ": it did not answer in time"));
    }
    return make_error(absl::StatusCode::kDeadlineExceeded,
                      error_number::link_timeout,
                      absl::StrCat(to_string(peer), " sent no whole answer in time"));
}

absl::Status too_large_error(const endpoint& peer)
{
    return make_error(absl::StatusCode::kInternal,
                      error_number::link_malformed,
                      absl::StrCat("the answer of ", to_string(peer), " is too large"));
}

/// @brief A link_client with a peer_connection for each peer in use.
class pooled_link_client : public link_client
{
  public:
    absl::StatusOr<link_reply> call(const link_call& request) override
    {
        call_state state = begin(request);
        return wait_for_reply(state);
    }

    void
    call_all(const std::vector<link_call>& calls,
             const std::function<void(std::size_t, const absl::StatusOr<link_reply>&)>&
                 on_reply) override
    {
        std::vector<call_state> begun;
        begun.reserve(calls.size());
        for (const link_call& each : calls)
        {
            begun.push_back(begin(each));
        }
        for (std::size_t at = 0; at < begun.size(); ++at)
        {
            on_reply(at, wait_for_reply(begun[at]));
        }
    }

    byte_count traffic() const override
    {
        return byte_count(traffic_.load());
    }

  private:
    call_state begin(const link_call& request)
    {
        call_state state{request,
                         std::make_shared<client_stream>(request.path, request.body),
                         nullptr,
                         time_.steady_now() + request.timeout,
                         {}};
        if (request.body.size() <= link_limits::max_body_bytes)
        {
            state.peer = start(request.to, state.stream);
        }
        return state;
    }

    std::shared_ptr<peer_connection> start(const endpoint& to,
                                           const std::shared_ptr<client_stream>& stream)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = peers_.find(to);
        if (found != peers_.end() && found->second->start(stream))
        {
            return found->second;
        }
        remove_ended();
        auto created = std::make_shared<peer_connection>(to, stream, traffic_);
        peers_[to] = created;
        return created;
    }

    void remove_ended()
    {
        for (auto each = peers_.begin(); each != peers_.end();)
        {
            each = each->second->ended() ? peers_.erase(each) : std::next(each);
        }
    }

    absl::StatusOr<link_reply> wait_for_reply(call_state& state)
    {
        if (state.peer == nullptr)
        {
            return make_error(absl::StatusCode::kInvalidArgument,
                              error_number::link_unreachable,
                              "no call was sent: its body is too large");
        }
        for (;;)
        {
            const client_stream::progress update =
                state.stream->wait(time_to_wait(state));
            const absl::Status consumed = consume_parts(state, update);
            if (!consumed.ok())
            {
                abandon(state);
                return consumed;
            }
            if (update.ended.has_value())
            {
                return make_reply(state, *update.ended);
            }
            if (state.request.cancelled && state.request.cancelled())
            {
                abandon(state);
                return absl::CancelledError("the call was cancelled");
            }
            if (time_.steady_now() >= state.deadline)
            {
                return timeout_error(state.request.to, abandon(state));
            }
        }
    }

    millis time_to_wait(const call_state& state) const
    {
        const millis remaining = std::max(state.deadline - time_.steady_now(), millis(0));
        return state.request.cancelled ? std::min(remaining, cancel_check_interval)
                                       : remaining;
    }

    absl::Status consume_parts(call_state& state, const client_stream::progress& update)
    {
        std::size_t size = 0;
        for (const std::string& part : update.parts)
        {
            size += part.size();
            if (state.request.on_part && !state.request.on_part(part))
            {
                return absl::CancelledError("the call was cancelled");
            }
            if (!state.request.on_part)
            {
                state.reply.body += part;
            }
        }
        if (state.reply.body.size() > link_limits::max_body_bytes)
        {
            return too_large_error(state.request.to);
        }
        if (size > 0)
        {
            state.stream->add_consumed(size);
            state.peer->notify(state.stream);
        }
        return absl::OkStatus();
    }

    /// @return whether a part of the call may have been sent
    bool abandon(const call_state& state)
    {
        const bool begun = state.stream->abandon();
        state.peer->notify(state.stream);
        return begun;
    }

    static absl::StatusOr<link_reply> make_reply(call_state& state,
                                                 const absl::StatusOr<int>& ended)
    {
        if (!ended.ok())
        {
            return ended.status();
        }
        state.reply.status = *ended;
        return std::move(state.reply);
    }

    clock time_ = clock::system();
    std::atomic<std::int64_t> traffic_{0};
    std::mutex mutex_;
    std::map<endpoint, std::shared_ptr<peer_connection>> peers_;
};

} // namespace

std::unique_ptr<link_client> link_client::create()
{
    return std::make_unique<pooled_link_client>();
}

} // namespace medlar
