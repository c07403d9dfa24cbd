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

/// @brief whether another operator program may do better, nothing having been changed
bool is_worth_another(const grpc::Status& status)
{
    return is_unreachable(status) ||
           number_of(status) == static_cast<int>(error_number::store_unreachable);
}

/// @brief Waits until a channel is connected, or its first try has failed.
bool is_connected(grpc::Channel& channel, millis wait)
{
    const auto until = deadline_after(wait);
    grpc_connectivity_state state = channel.GetState(true);
    while (state != GRPC_CHANNEL_READY && state != GRPC_CHANNEL_TRANSIENT_FAILURE &&
           channel.WaitForStateChange(state, until))
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

call_result operator_client::call_first(const one_call& call)
{
    call_result result;
    result.status = {grpc::StatusCode::UNAVAILABLE, "no operator program is set"};
    for (const endpoint& where : operators_)
    {
        const call_result one = call_at(where, call);
        result.status = one.status;
        result.may_have_been_read = result.may_have_been_read || one.may_have_been_read;
        if (!is_worth_another(one.status))
        {
            break;
        }
    }
    return result;
}

call_result operator_client::call_at(const endpoint& where, const one_call& call) const
{
    const std::shared_ptr<grpc::Channel> channel = channel_to(where);
    if (!is_connected(*channel, std::min(connect_timeout, timeout_)))
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
    const bool has_no_answer =
        status.error_code() == grpc::StatusCode::UNAVAILABLE ||
        status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
        status.error_code() == grpc::StatusCode::CANCELLED;
    return has_no_answer && number_of(status) == 0;
}

} // namespace medlar
