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

/// @brief what a command of medlarctl works with
struct ctl_session
{
    ctl_session(const ctl_options& given,
                std::vector<std::string> words,
                std::ostream& results,
                std::ostream& problems);

    const ctl_options& options;
    /// the words after the command's name
    std::vector<std::string> arguments;
    std::ostream& out;
    std::ostream& errors;
    operator_client client;

    /// @brief the identity of the change that this command makes
    v1::Change change() const;

    /// @brief the id of the change that this command makes
    const std::string& change_id() const;

    /// @brief Prints a message as JSON.
    void print_json(const google::protobuf::Message& message) const;

    /// @brief Prints a failed call of a command that changes nothing.
    ctl_exit fail(const call_result& call) const;

    /// @brief Prints a failed call of a command that makes a change.
    ctl_exit fail_change(const call_result& call) const;

    /// @brief Prints an error in what was given.
    ctl_exit refuse(const absl::Status& why, ctl_exit code) const;

  private:
    void print_conflict(const grpc::Status& status) const;

    std::string change_id_;
};

/// @brief Reads and validates the document in a file; "-" is standard input.
absl::StatusOr<document> read_document_file(const std::string& name);

// commands, one for each method of the schema

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
