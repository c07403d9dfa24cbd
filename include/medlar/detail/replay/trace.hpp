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

/// @brief expectations that a replay must meet; unset ones are not checked
struct trace_expectations
{
    /// minimum fraction, 0 to 1, of requests answered completely and in time
    std::optional<double> attainment_at_least;
    /// the same minimum for each organisation except the flooding one
    std::optional<double> worst_attainment_at_least;
};

/// @brief A fault during a trace. The replay does not inject it; the environment that
/// runs the processes has to.
struct trace_fault
{
    millis at{0};
    millis until{0};
    /// "kill_gateway", "straggle", "fail", "freeze_reports" or "stop_store"
    std::string kind;
    /// pool of the affected targets; empty: none
    pool_id pool;
    /// zero-based indexes of the affected gateways or targets
    std::vector<int> places;
    /// slowdown factor of a straggler
    double factor = 1;
};

/// @brief the header, which is the first line of a trace
struct trace_header
{
    std::string name;
    std::uint64_t seed = 0;
    std::vector<trace_fault> faults;
    /// stages that must run at most once for a request that is not idempotent
    std::vector<std::string> unrepeatable_stages;
    /// organisation that exceeds its share by far; empty: none
    organisation_id flooding;
    trace_expectations expect;
};

/// @brief a request of a trace
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
    /// name of the shared prompt prefix; empty: none
    std::string prefix;
    byte_count prefix_length{0};
    token_count max_tokens{0};
};

/// @brief a trace: a header and requests ordered by send time
struct trace
{
    trace_header header;
    std::vector<trace_request> requests;
};

/// @brief Reads a trace from JSON lines, the header first.
/// @return error 501, 502 or 503; the message names the line and the field
absl::StatusOr<trace> read_trace(std::istream& in);

/// @brief Writes a trace in the form that read_trace() reads.
void write_trace(std::ostream& out, const trace& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_TRACE_HPP
