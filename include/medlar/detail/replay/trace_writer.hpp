#ifndef MEDLAR_DETAIL_REPLAY_TRACE_WRITER_HPP
#define MEDLAR_DETAIL_REPLAY_TRACE_WRITER_HPP

#include <medlar/detail/replay/trace.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Returns the kinds of trace that generate_trace() supports.
std::vector<std::string> trace_kinds();

/// @brief Generates a trace of a kind; the same seed gives the same trace.
/// @return error 901 if the kind is unknown
absl::StatusOr<trace> generate_trace(absl::string_view kind, std::uint64_t seed);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_TRACE_WRITER_HPP
