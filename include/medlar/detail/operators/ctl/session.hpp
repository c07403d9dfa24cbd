#ifndef MEDLAR_DETAIL_OPERATORS_CTL_SESSION_HPP
#define MEDLAR_DETAIL_OPERATORS_CTL_SESSION_HPP

#include <medlar/detail/config/document.hpp>
#include <medlar/detail/operators/ctl/commands.hpp>
#include <medlar/detail/operators/ctl/operator_client.hpp>

#include <absl/status/statusor.h>
#include <google/protobuf/message.h>

#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief one invocation of medlarctl: options, arguments, output streams and client
struct ctl_session
{
    ctl_session(const ctl_options& given,
                std::vector<std::string> words,
                std::ostream& results,
                std::ostream& problems);

    const ctl_options& options;
    /// the words after the name of the command
    std::vector<std::string> arguments;
    std::ostream& out;
    std::ostream& errors;
    operator_client client;

    /// @brief Returns the identity and the conditions of the change that this command
    /// requests.
    v1::Change change() const;

    /// @brief the id of the change that this command requests
    const std::string& change_id() const;

    /// @brief Prints a message as JSON to the results.
    void print_json(const google::protobuf::Message& message) const;

    /// @brief Prints the error of a call that changes nothing, and returns the exit code.
    ctl_exit fail(const operator_call_result& call) const;

    /// @brief Prints the error of a call that requests a change, and returns the exit
    /// code. If the call may have been processed, the outcome is printed as unknown.
    ctl_exit fail_change(const operator_call_result& call) const;

    /// @brief Prints an error in the arguments or in data, and returns @p code.
    ctl_exit fail_input(const absl::Status& why, ctl_exit code) const;

  private:
    void print_conflict(const grpc::Status& status) const;

    std::string change_id_;
};

/// @brief Reads and validates the document in a file; "-" means standard input.
absl::StatusOr<document> read_document_file(const std::string& name);

// commands, one for each method of the gRPC schema

ctl_exit apply_command(ctl_session& session);
ctl_exit get_command(ctl_session& session);
ctl_exit diff_command(ctl_session& session);
ctl_exit history_command(ctl_session& session);
ctl_exit rollback_command(ctl_session& session);
ctl_exit change_status_command(ctl_session& session);
ctl_exit drain_command(ctl_session& session);
ctl_exit undrain_command(ctl_session& session);
ctl_exit status_command(ctl_session& session);
ctl_exit explain_command(ctl_session& session);
ctl_exit force_view_command(ctl_session& session);
ctl_exit order_model_command(ctl_session& session);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_SESSION_HPP
