#ifndef MEDLAR_DETAIL_DISPATCH_CRASH_SUSPECT_HPP
#define MEDLAR_DETAIL_DISPATCH_CRASH_SUSPECT_HPP

#include <medlar/detail/base/strong_type.hpp>
#include <medlar/detail/dispatch/request_key.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief What targets may crash under: the hash of a prompt part, or of a whole request.
using crash_suspect = strong_type<struct crash_suspect_tag, std::uint64_t>;

/// @brief The parts of a prompt in order; the last one belongs to its request or session
/// alone.
using prompt_suspects = std::vector<crash_suspect>;

/// @brief All that a target may crash under when it runs one request
struct request_suspects
{
    prompt_suspects prompt;
    /// the request with its prompt: others to the same path may have the same body
    crash_suspect request;
};

/// @brief Returns the suspect for the prompt part with an id.
crash_suspect suspect_of_part(const std::string& id);

/// @brief Returns the suspects of a request.
request_suspects suspects_of(request_key request, const std::vector<prompt_part>& prompt);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_CRASH_SUSPECT_HPP
