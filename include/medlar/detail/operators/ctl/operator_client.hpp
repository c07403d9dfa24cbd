#ifndef MEDLAR_DETAIL_OPERATORS_CTL_OPERATOR_CLIENT_HPP
#define MEDLAR_DETAIL_OPERATORS_CTL_OPERATOR_CLIENT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>

#include <grpcpp/grpcpp.h>
#include <medlar.grpc.pb.h>

#include <functional>
#include <memory>
#include <vector>

namespace medlar
{

/// @brief how a call to the operator programs ended
struct call_result
{
    grpc::Status status;
    /// an operator program that gave no answer may have read the call
    bool may_have_been_read = false;
};

/// @brief Calls the first operator program that answers.
///
/// Sending a change to another operator program is safe because a change id takes
/// effect once.
class operator_client
{
  public:
    using stub = v1::Operators::StubInterface;

    /// @param operators addresses, tried in turn
    /// @param timeout of one call to one of them
    operator_client(std::vector<endpoint> operators, millis timeout);

    /// @brief Makes a call.
    /// @param method such as &operator_client::stub::Apply
    template <typename Request, typename Reply>
    call_result
    call(grpc::Status (stub::*method)(grpc::ClientContext*, const Request&, Reply*),
         const Request& request,
         Reply* reply)
    {
        return call_first(
            [&](stub& at, grpc::ClientContext* context)
            {
                return (at.*method)(context, request, reply);
            });
    }

  private:
    using one_call = std::function<grpc::Status(stub&, grpc::ClientContext*)>;

    call_result call_first(const one_call& call);
    call_result call_at(const endpoint& where, const one_call& call) const;

    std::vector<endpoint> operators_;
    millis timeout_;
};

/// @brief whether no answer came from an operator program
bool is_unreachable(const grpc::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_OPERATOR_CLIENT_HPP
