#ifndef MEDLAR_DETAIL_OPERATORS_SCHEMA_HPP
#define MEDLAR_DETAIL_OPERATORS_SCHEMA_HPP

#include <medlar/detail/config/audit_record.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/config/model_order.hpp>
#include <medlar/detail/operators/change_service.hpp>
#include <medlar/detail/operators/fleet_service.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <grpcpp/support/status.h>
#include <medlar.pb.h>

#include <vector>

namespace medlar
{

// documents

/// @brief Converts a document to its message.
v1::Document to_message(const document& content);

/// @brief Converts a message to a document, without validating it.
/// @return error 504 or 505, whose message names the field
absl::StatusOr<document> from_message(const v1::Document& message);

/// @brief Converts an accepted document to its message.
v1::AcceptedDocument to_message(const accepted_document& accepted);

// changes

v1::ChangeReply to_message(const change_result& result);
v1::ChangeState to_message(change_state state);
v1::AuditRecord to_message(const audit_record& record);
change_request from_message(const v1::Change& message);
std::vector<model_order> from_message(const v1::OrderModelRequest& message);

/// @brief Appends differences to a repeated field.
void add_messages(const std::vector<difference>& differences,
                  google::protobuf::RepeatedPtrField<v1::Difference>* field);

// gateways

v1::StatusReply to_message(const fleet_status& status);
v1::ExplainReply to_message(const std::vector<host_trace>& traces);

// errors

/// @brief Converts a status for gRPC; a conflict gets a v1::Conflict as its details.
grpc::Status to_grpc(const absl::Status& status);

/// @brief Converts the status of a gRPC call, without its details.
absl::Status from_grpc(const grpc::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_SCHEMA_HPP
