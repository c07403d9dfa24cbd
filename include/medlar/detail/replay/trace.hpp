#ifndef MEDLAR_DETAIL_REPLAY_TRACE_HPP
#define MEDLAR_DETAIL_REPLAY_TRACE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief outcomes that a replay has to show
struct trace_expectations
{
    /// least share of requests answered whole and in time, 0 to 1
    std::optional<double> attainment_at_least;
    /// the same for the organisation that fares worst, one that floods left out
    std::optional<double> worst_attainment_at_least;
};

/// @brief A fault during a trace. The replay only records it; whoever runs the
/// processes brings it about.
struct trace_fault
{
    millis at{0};
    millis until{0};
    /// "kill_gateway", "straggle", "fail", "freeze_reports" or "stop_store"
    std::string kind;
    /// pool of the targets that it concerns; empty: none
    pool_id pool;
    /// which gateways or targets, counted from 0
    std::vector<int> places;
    /// factor on the time of a straggler
    double factor = 1;
};

/// @brief first line of a trace
struct trace_header
{
    std::string name;
    std::uint64_t seed = 0;
    std::vector<trace_fault> faults;
    /// stages of which a call may be made only once for a request that is not
    /// idempotent
    std::vector<std::string> unrepeatable_stages;
    /// organisation that sends far more than its share; empty: none
    organisation_id flooding;
    trace_expectations expect;
};

/// @brief one request of a trace
struct trace_request
{
    millis at{0};
    request_id id;
    pipeline_id pipeline;
    organisation_id organisation;
    millis deadline{0};
    bool idempotent = true;
    bool stream = false;
    byte_count input{0};
    /// name of the text that its prompt starts with; empty: none
    std::string prefix;
    byte_count prefix_length{0};
    token_count max_tokens{0};
};

/// @brief a recorded trace: a header and requests in the order of their times
struct trace
{
    trace_header header;
    std::vector<trace_request> requests;
};

/// @brief Reads a trace: JSON lines, the header first.
/// @return error 501, 502 or 503; the message names the line and the field
absl::StatusOr<trace> read_trace(std::istream& in);

/// @brief Writes the form that read_trace() reads.
void write_trace(std::ostream& out, const trace& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_TRACE_HPP
