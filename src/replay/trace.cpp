#include <medlar/detail/base/error.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

using json = nlohmann::json;

/// @brief Reads the members of a JSON line and keeps the first error.
class line_reader
{
  public:
    line_reader(const json& line, std::size_t number) : line_(line), number_(number)
    {
    }

    std::int64_t non_negative_integer(const char* name, std::int64_t fallback) const
    {
        const json* found = member(name);
        if (found == nullptr)
        {
            return fallback;
        }
        if (!found->is_number_integer() || found->get<std::int64_t>() < 0)
        {
            report_wrong_type(name, "a whole number from 0");
            return fallback;
        }
        return found->get<std::int64_t>();
    }

    bool boolean(const char* name, bool fallback) const
    {
        const json* found = member(name);
        if (found == nullptr)
        {
            return fallback;
        }
        if (!found->is_boolean())
        {
            report_wrong_type(name, "true or false");
            return fallback;
        }
        return found->get<bool>();
    }

    std::string text(const char* name) const
    {
        const json* found = member(name);
        if (found == nullptr)
        {
            return "";
        }
        if (!found->is_string())
        {
            report_wrong_type(name, "a string");
            return "";
        }
        return found->get<std::string>();
    }

    std::optional<double> number(const char* name) const
    {
        const json* found = member(name);
        if (found == nullptr)
        {
            return std::nullopt;
        }
        if (!found->is_number())
        {
            report_wrong_type(name, "a number");
            return std::nullopt;
        }
        return found->get<double>();
    }

    template <typename Value>
    std::vector<Value> list(const char* name) const
    {
        const json* found = member(name);
        if (found == nullptr)
        {
            return {};
        }
        try
        {
            return found->get<std::vector<Value>>();
        }
        catch (const json::exception&)
        {
            report_wrong_type(name, "a list of one type");
            return {};
        }
    }

    void require(const char* name) const
    {
        if (status_.ok() && member(name) == nullptr)
        {
            status_ =
                make_error(absl::StatusCode::kInvalidArgument,
                           error_number::missing_field,
                           absl::StrCat("line ", number_, ": '", name, "' is missing"));
        }
    }

    const absl::Status& status() const
    {
        return status_;
    }

  private:
    const json* member(const char* name) const
    {
        const auto found = line_.find(name);
        return found == line_.end() ? nullptr : &*found;
    }

    void report_wrong_type(const char* name, const char* expected_type) const
    {
        if (status_.ok())
        {
            status_ = make_error(
                absl::StatusCode::kInvalidArgument,
                error_number::wrong_type,
                absl::StrCat("line ", number_, ": '", name, "' is not ", expected_type));
        }
    }

    const json& line_;
    std::size_t number_;
    mutable absl::Status status_;
};

absl::StatusOr<trace_fault> read_fault(const json& line)
{
    const std::size_t header_line = 1;
    const line_reader in(line, header_line);
    trace_fault fault;
    in.require("kind");
    fault.at = millis(in.non_negative_integer("at_ms", 0));
    fault.until = millis(in.non_negative_integer("until_ms", 0));
    fault.kind = in.text("kind");
    fault.pool = pool_id(in.text("pool"));
    fault.places = in.list<int>("places");
    fault.factor = in.number("factor").value_or(1);
    if (!in.status().ok())
    {
        return in.status();
    }
    return fault;
}

absl::StatusOr<trace_header> read_header(const json& line, std::size_t number)
{
    const line_reader in(line, number);
    trace_header header;
    in.require("trace");
    header.name = in.text("trace");
    header.seed = static_cast<std::uint64_t>(in.non_negative_integer("seed", 0));
    header.unrepeatable_stages = in.list<std::string>("unrepeatable_stages");
    header.flooding = organisation_id(in.text("flooding"));
    const json expected = line.value("expect", json::object());
    const line_reader expect(expected, number);
    header.expect.attainment_at_least = expect.number("attainment_at_least");
    header.expect.worst_attainment_at_least = expect.number("worst_attainment_at_least");
    for (const json& each : line.value("faults", json::array()))
    {
        absl::StatusOr<trace_fault> fault = read_fault(each);
        if (!fault.ok())
        {
            return fault.status();
        }
        header.faults.push_back(*std::move(fault));
    }
    const absl::Status& bad = in.status().ok() ? expect.status() : in.status();
    if (!bad.ok())
    {
        return bad;
    }
    return header;
}

absl::StatusOr<trace_request> read_request(const json& line, std::size_t number)
{
    const line_reader in(line, number);
    trace_request request;
    for (const char* name : {"at_ms", "id", "pipeline", "organisation", "deadline_ms"})
    {
        in.require(name);
    }
    request.at = millis(in.non_negative_integer("at_ms", 0));
    request.id = request_id(in.text("id"));
    request.pipeline = pipeline_id(in.text("pipeline"));
    request.organisation = organisation_id(in.text("organisation"));
    request.deadline = millis(in.non_negative_integer("deadline_ms", 0));
    request.idempotent = in.boolean("idempotent", true);
    request.stream = in.boolean("stream", false);
    request.input = byte_count(in.non_negative_integer("input_bytes", 0));
    request.prefix = in.text("prefix");
    request.prefix_length = byte_count(in.non_negative_integer("prefix_bytes", 0));
    request.max_tokens = token_count(in.non_negative_integer("max_tokens", 0));
    if (!in.status().ok())
    {
        return in.status();
    }
    return request;
}

absl::StatusOr<json> read_line(const std::string& text, std::size_t number)
{
    json line = json::parse(text, nullptr, false);
    if (!line.is_object())
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::not_json,
                          absl::StrCat("line ", number, " is not a JSON object"));
    }
    return line;
}

json fault_json(const trace_fault& fault)
{
    return {{"at_ms", fault.at.count()},
            {"until_ms", fault.until.count()},
            {"kind", fault.kind},
            {"pool", fault.pool.get()},
            {"places", fault.places},
            {"factor", fault.factor}};
}

json header_json(const trace_header& header)
{
    json expect = json::object();
    if (header.expect.attainment_at_least)
    {
        expect["attainment_at_least"] = *header.expect.attainment_at_least;
    }
    if (header.expect.worst_attainment_at_least)
    {
        expect["worst_attainment_at_least"] = *header.expect.worst_attainment_at_least;
    }
    json faults = json::array();
    for (const trace_fault& each : header.faults)
    {
        faults.push_back(fault_json(each));
    }
    return {{"trace", header.name},
            {"seed", header.seed},
            {"faults", faults},
            {"unrepeatable_stages", header.unrepeatable_stages},
            {"flooding", header.flooding.get()},
            {"expect", expect}};
}

json request_json(const trace_request& request)
{
    json line = {{"at_ms", request.at.count()},
                 {"id", request.id.get()},
                 {"pipeline", request.pipeline.get()},
                 {"organisation", request.organisation.get()},
                 {"deadline_ms", request.deadline.count()},
                 {"idempotent", request.idempotent},
                 {"input_bytes", request.input.get()},
                 {"max_tokens", request.max_tokens.get()}};
    if (request.stream)
    {
        line["stream"] = true;
    }
    if (!request.prefix.empty())
    {
        line["prefix"] = request.prefix;
        line["prefix_bytes"] = request.prefix_length.get();
    }
    return line;
}

} // namespace

absl::StatusOr<trace> read_trace(std::istream& in)
{
    trace content;
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number)
    {
        const absl::StatusOr<json> line = read_line(text, number);
        if (!line.ok())
        {
            return line.status();
        }
        if (number == 1)
        {
            absl::StatusOr<trace_header> header = read_header(*line, number);
            if (!header.ok())
            {
                return header.status();
            }
            content.header = *std::move(header);
            continue;
        }
        absl::StatusOr<trace_request> request = read_request(*line, number);
        if (!request.ok())
        {
            return request.status();
        }
        content.requests.push_back(*std::move(request));
    }
    if (content.header.name.empty())
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::missing_field,
                          "line 1: the header is missing");
    }
    std::stable_sort(content.requests.begin(),
                     content.requests.end(),
                     [](const trace_request& a, const trace_request& b)
                     {
                         return a.at < b.at;
                     });
    return content;
}

void write_trace(std::ostream& out, const trace& content)
{
    out << header_json(content.header).dump() << "\n";
    for (const trace_request& each : content.requests)
    {
        out << request_json(each).dump() << "\n";
    }
}

} // namespace medlar
