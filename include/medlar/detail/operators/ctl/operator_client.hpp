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

/// @brief status of a call to the operator programs
struct operator_call_result
{
    grpc::Status status;
    /// whether an operator program that did not reply may have processed the call
    bool may_have_been_processed = false;
};

/// @brief Client that fails over between operator programs.
///
/// Sending a change to a second operator program is safe because a change id takes
/// effect at most once.
class operator_client
{
  public:
    using stub = v1::Operators::StubInterface;

    /// @param operators addresses, tried in order
    /// @param timeout limit of a call to one operator program
    operator_client(std::vector<endpoint> operators, millis timeout);

    /// @brief Calls a method on the first operator program that replies.
    /// @param method a member function of the stub, such as
    ///     &operator_client::stub::Apply
    template <typename Request, typename Reply>
    operator_call_result
    call(grpc::Status (stub::*method)(grpc::ClientContext*, const Request&, Reply*),
         const Request& request,
         Reply* reply)
    {
        return call_until_answered(
            [&](stub& at, grpc::ClientContext* context)
            {
                return (at.*method)(context, request, reply);
            });
    }

  private:
    using rpc = std::function<grpc::Status(stub&, grpc::ClientContext*)>;

    operator_call_result call_until_answered(const rpc& call);
    operator_call_result call_operator(const endpoint& where, const rpc& call) const;

    std::vector<endpoint> operators_;
    millis timeout_;
};

/// @brief Returns whether a status means that no operator program replied.
bool is_unreachable(const grpc::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_OPERATOR_CLIENT_HPP
