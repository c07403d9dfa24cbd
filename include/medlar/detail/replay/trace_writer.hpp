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

/// @brief the names that make_trace() knows
std::vector<std::string> trace_kinds();

/// @brief Makes a trace of one kind; equal for equal seeds.
/// @return error 901 if the kind is not known
absl::StatusOr<trace> make_trace(absl::string_view kind, std::uint64_t seed);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_TRACE_WRITER_HPP
