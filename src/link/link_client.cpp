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

/// how often a waiting call asks whether it is cancelled
constexpr millis cancel_check{20};

/// @brief a call with what is known of its answer
struct call_state
{
    const link_call& what;
    std::shared_ptr<client_stream> stream;
    std::shared_ptr<peer_connection> peer;
    steady_time until;
    link_reply reply;
};

absl::Status timed_out(const endpoint& peer, bool begun)
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

absl::Status too_large(const endpoint& peer)
{
    return make_error(absl::StatusCode::kInternal,
                      error_number::link_malformed,
                      absl::StrCat("the answer of ", to_string(peer), " is too large"));
}

/// @brief a link_client with a peer_connection for each peer in use
class pooled_link_client : public link_client
{
  public:
    absl::StatusOr<link_reply> call(const link_call& what) override
    {
        call_state state = begin(what);
        return follow(state);
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
            on_reply(at, follow(begun[at]));
        }
    }

    byte_count traffic() const override
    {
        return byte_count(traffic_.load());
    }

  private:
    call_state begin(const link_call& what)
    {
        call_state state{what,
                         std::make_shared<client_stream>(what.path, what.body),
                         nullptr,
                         time_.steady_now() + what.timeout,
                         {}};
        if (what.body.size() <= link_limits::max_body_bytes)
        {
            state.peer = start(what.to, state.stream);
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
        auto fresh = std::make_shared<peer_connection>(to, stream, traffic_);
        peers_[to] = fresh;
        return fresh;
    }

    void remove_ended()
    {
        for (auto each = peers_.begin(); each != peers_.end();)
        {
            each = each->second->ended() ? peers_.erase(each) : std::next(each);
        }
    }

    absl::StatusOr<link_reply> follow(call_state& state)
    {
        if (state.peer == nullptr)
        {
            return make_error(absl::StatusCode::kInvalidArgument,
                              error_number::link_unreachable,
                              "no call was sent: its body is too large");
        }
        for (;;)
        {
            const client_stream::progress news = state.stream->wait(time_to_wait(state));
            const absl::Status taken = take(state, news);
            if (!taken.ok())
            {
                give_up(state);
                return taken;
            }
            if (news.ended.has_value())
            {
                return finished(state, *news.ended);
            }
            if (state.what.cancelled && state.what.cancelled())
            {
                give_up(state);
                return absl::CancelledError("the call was cancelled");
            }
            if (time_.steady_now() >= state.until)
            {
                return timed_out(state.what.to, give_up(state));
            }
        }
    }

    millis time_to_wait(const call_state& state) const
    {
        const millis left = std::max(state.until - time_.steady_now(), millis(0));
        return state.what.cancelled ? std::min(left, cancel_check) : left;
    }

    absl::Status take(call_state& state, const client_stream::progress& news)
    {
        std::size_t taken = 0;
        for (const std::string& part : news.parts)
        {
            taken += part.size();
            if (state.what.on_part && !state.what.on_part(part))
            {
                return absl::CancelledError("the call was cancelled");
            }
            if (!state.what.on_part)
            {
                state.reply.body += part;
            }
        }
        if (state.reply.body.size() > link_limits::max_body_bytes)
        {
            return too_large(state.what.to);
        }
        if (taken > 0)
        {
            state.stream->add_consumed(taken);
            state.peer->touch(state.stream);
        }
        return absl::OkStatus();
    }

    /// @return whether a part of the call may have been handed to the network
    bool give_up(const call_state& state)
    {
        const bool begun = state.stream->abandon();
        state.peer->touch(state.stream);
        return begun;
    }

    static absl::StatusOr<link_reply> finished(call_state& state,
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
