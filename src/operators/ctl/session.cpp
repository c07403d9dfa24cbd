#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/config/json_text.hpp>
#include <medlar/detail/operators/ctl/session.hpp>
#include <medlar/detail/operators/ctl/table.hpp>

#include <absl/strings/str_cat.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <utility>

namespace medlar
{

namespace
{

std::string new_change_id()
{
    std::random_device random;
    return absl::StrCat("ctl-",
                        absl::Hex(random(), absl::kZeroPad8),
                        absl::Hex(random(), absl::kZeroPad8));
}

ctl_exit exit_code_of(const grpc::Status& status)
{
    const absl::Status error = absl::InternalError(status.error_message());
    switch (static_cast<error_number>(error_number_of(error)))
    {
        case error_number::conflict:
            return ctl_exit::conflict;
        case error_number::store_unreachable:
        case error_number::store_reply_lost:
            return ctl_exit::unreachable;
        default:
            return is_unreachable(status) ? ctl_exit::unreachable : ctl_exit::refused;
    }
}

} // namespace

ctl_session::ctl_session(const ctl_options& given,
                         std::vector<std::string> words,
                         std::ostream& results,
                         std::ostream& problems)
    : options(given),
      arguments(std::move(words)),
      out(results),
      errors(problems),
      client(given.operators, given.timeout),
      change_id_(given.change_id.empty() ? new_change_id() : given.change_id)
{
}

v1::Change ctl_session::change() const
{
    v1::Change message;
    message.set_change_id(change_id_);
    message.set_author(options.author);
    if (options.expected_revision)
    {
        message.set_expected_revision(*options.expected_revision);
    }
    message.set_above_revision(options.above_revision);
    return message;
}

const std::string& ctl_session::change_id() const
{
    return change_id_;
}

void ctl_session::print_json(const google::protobuf::Message& message) const
{
    google::protobuf::util::JsonPrintOptions print_options;
    print_options.add_whitespace = true;
    print_options.always_print_primitive_fields = true;
    print_options.preserve_proto_field_names = true;
    std::string text;
    const auto printed =
        google::protobuf::util::MessageToJsonString(message, &text, print_options);
    out << (printed.ok() ? text : "{}") << std::flush;
}

ctl_exit ctl_session::fail(const operator_call_result& call) const
{
    errors << "error: " << printable(call.status.error_message()) << "\n";
    print_conflict(call.status);
    return exit_code_of(call.status);
}

ctl_exit ctl_session::fail_change(const operator_call_result& call) const
{
    if (!call.may_have_been_processed ||
        exit_code_of(call.status) != ctl_exit::unreachable)
    {
        return fail(call);
    }
    errors
        << "unknown: " << printable(call.status.error_message()) << "\n"
        << "change " << change_id_
        << " may have taken effect; determine the outcome with: medlarctl change status "
        << change_id_ << "\n";
    return ctl_exit::unknown;
}

ctl_exit ctl_session::fail_input(const absl::Status& why, ctl_exit code) const
{
    errors << "error: " << printable(std::string(why.message())) << "\n";
    return code;
}

void ctl_session::print_conflict(const grpc::Status& status) const
{
    v1::Conflict conflict;
    if (status.error_details().empty() ||
        !conflict.ParseFromString(status.error_details()))
    {
        return;
    }
    if (options.json)
    {
        print_json(conflict);
        return;
    }
    table rows({"CHANGED", "BEFORE", "NOW"});
    for (const v1::Difference& each : conflict.differences())
    {
        rows.add({each.path(), each.before(), each.after()});
    }
    rows.print(errors);
}

absl::StatusOr<document> read_document_file(const std::string& name)
{
    std::ifstream file;
    if (name != "-")
    {
        file.open(name, std::ios::binary);
        if (!file)
        {
            return absl::NotFoundError(absl::StrCat("cannot read ", name));
        }
    }
    std::istream& source = name == "-" ? std::cin : file;
    std::string text(max_document_bytes + 1, '\0');
    source.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(source.gcount()));
    return parse_document(text);
}

} // namespace medlar
