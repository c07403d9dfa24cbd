#include <medlar/detail/base/error.hpp>
#include <medlar/detail/operators/ctl/operator_client.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis connect_timeout{2000};
constexpr int max_message_bytes = 64000000;

std::chrono::system_clock::time_point deadline_after(millis timeout)
{
    return std::chrono::system_clock::now() + std::chrono::milliseconds(timeout.count());
}

int number_of(const grpc::Status& status)
{
    return error_number_of(absl::InternalError(status.error_message()));
}

/// @brief Returns whether to call the next operator program: this one did not reply, or
/// could not reach the store and has changed nothing.
bool should_try_next(const grpc::Status& status)
{
    return is_unreachable(status) ||
           number_of(status) == static_cast<int>(error_number::store_unreachable);
}

/// @brief Waits until a channel is connected or its first connection attempt has failed.
bool wait_until_connected(grpc::Channel& channel, millis timeout)
{
    const auto deadline = deadline_after(timeout);
    grpc_connectivity_state state = channel.GetState(true);
    while (state != GRPC_CHANNEL_READY && state != GRPC_CHANNEL_TRANSIENT_FAILURE &&
           channel.WaitForStateChange(state, deadline))
    {
        state = channel.GetState(true);
    }
    return state == GRPC_CHANNEL_READY;
}

std::shared_ptr<grpc::Channel> channel_to(const endpoint& where)
{
    const bool is_ipv6 = where.address.find(':') != std::string::npos;
    const std::string target =
        is_ipv6 ? absl::StrCat("ipv6:[", where.address, "]:", where.port)
                : absl::StrCat("ipv4:", where.address, ":", where.port);
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(
        target, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

operator_client::operator_client(std::vector<endpoint> operators, millis timeout)
    : operators_(std::move(operators)), timeout_(timeout)
{
}

operator_call_result operator_client::call_until_answered(const rpc& call)
{
    operator_call_result result;
    result.status = {grpc::StatusCode::UNAVAILABLE, "no operator program is configured"};
    for (const endpoint& where : operators_)
    {
        const operator_call_result attempt = call_operator(where, call);
        result.status = attempt.status;
        result.may_have_been_processed =
            result.may_have_been_processed || attempt.may_have_been_processed;
        if (!should_try_next(attempt.status))
        {
            break;
        }
    }
    return result;
}

operator_call_result operator_client::call_operator(const endpoint& where,
                                                    const rpc& call) const
{
    const std::shared_ptr<grpc::Channel> channel = channel_to(where);
    if (!wait_until_connected(*channel, std::min(connect_timeout, timeout_)))
    {
        return {{grpc::StatusCode::UNAVAILABLE,
                 absl::StrCat("no connection to ", to_string(where))},
                false};
    }
    const auto stub = v1::Operators::NewStub(channel);
    grpc::ClientContext context;
    context.set_deadline(deadline_after(timeout_));
    const grpc::Status status = call(*stub, &context);
    return {status, is_unreachable(status)};
}

bool is_unreachable(const grpc::Status& status)
{
    const bool has_no_reply =
        status.error_code() == grpc::StatusCode::UNAVAILABLE ||
        status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
        status.error_code() == grpc::StatusCode::CANCELLED;
    return has_no_reply && number_of(status) == 0;
}

} // namespace medlar
