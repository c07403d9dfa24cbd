#ifndef MEDLAR_DETAIL_ENTRY_REQUEST_FORWARD_HPP
#define MEDLAR_DETAIL_ENTRY_REQUEST_FORWARD_HPP

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/host_headers.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace medlar
{

/// @brief header of a forwarded request: the version of the configuration that the
/// sender has in force
inline constexpr char forward_version_header[] = "Medlar-Configuration-Version";

/// @brief header of a forwarded request: how many targets the other host may send it to
inline constexpr char forward_sends_header[] = "Medlar-Max-Sends";

/// @brief header of a forwarded request: it may have begun elsewhere, since another host
/// that was to run it has broken off, or the sender has saved where it begins
inline constexpr char forward_repeated_header[] = "Medlar-Repeated";

/// @brief header of a forwarded request: the sender wants to know which target answers,
/// since it heeds one that says it is going to stop
inline constexpr char forward_heeds_header[] = "Medlar-Heeds-Target";

/// @brief headers of the answer to such a request: the target that gave it, and the start
/// time of its process
inline constexpr char forward_target_header[] = "Medlar-Target";
inline constexpr char forward_target_start_header[] = "Medlar-Target-Start";

/// @brief header of a refusal of a host that has not taken a forwarded request; its value
/// says why
inline constexpr char forward_not_taken_header[] = "Medlar-Not-Taken";

/// @brief What a host is told that is to run a request of another one.
struct forward_terms
{
    /// time until the deadline of the request
    millis remaining{0};
    /// how many targets that host may send it to
    int max_sends = 1;
    /// the configuration that the sender has in force
    std::int64_t configuration_version = 0;
    /// whether a target may have run it before; a refusal by that host is not passed on
    /// then, since it would not be true
    bool may_have_run = false;
    /// whether it may have begun elsewhere, see forward_repeated_header
    bool is_repeated = false;
};

/// @brief Callbacks for the outcome of a forwarded request. One of them is called, once;
/// it may destroy the request_forward.
struct forward_callbacks
{
    /// the other host has sent the request to no target, nor will it
    std::function<void(absl::string_view why)> on_not_taken;
    /// the other host has not run the request, but may have sent it to targets that
    /// refused it
    std::function<void()> on_refused;
    /// the answer was passed on completely
    std::function<void(int status)> on_answered;
    /// there is no complete answer, and the request may have run; a part of the answer
    /// may have been passed on
    std::function<void()> on_broken_off;
};

/// @brief Returns how many targets a request may be sent to that another host has
/// forwarded.
/// @param max_attempts what its route permits; a host of a version without this header
/// leaves it at that
int max_sends_of_forwarded(const request_head& head, int max_attempts);

/// @brief Has another host run a request, and passes its answer on to the caller.
///
/// The other host handles it like a request of its own callers, but never forwards it
/// again, so all that it promises of a request holds for the answer.
class request_forward
{
  public:
    /// @param to a host that has a forward address
    request_forward(entry_context& context,
                    const peer_host& to,
                    std::shared_ptr<caller_exchange> exchange,
                    const forward_terms& terms,
                    forward_callbacks callbacks);
    ~request_forward();

    request_forward(const request_forward&) = delete;
    request_forward& operator=(const request_forward&) = delete;

    const host_id& to() const
    {
        return to_;
    }

    /// @brief Returns whether any byte of the request may have been sent.
    bool has_sent() const
    {
        return call_->has_sent();
    }

  private:
    void on_head(const answer_head& head);
    /// heeds a target that says in its answer that it is going to stop
    void record_leaving_target(const answer_head& head);
    void on_data(absl::string_view data);
    void on_end(call_end how);

    entry_context& context_;
    host_id to_;
    std::shared_ptr<caller_exchange> exchange_;
    bool may_have_run_;
    forward_callbacks callbacks_;
    std::optional<answer_head> head_;
    std::shared_ptr<client_call> call_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_REQUEST_FORWARD_HPP
