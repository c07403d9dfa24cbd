#ifndef MEDLAR_DETAIL_DISPATCH_REQUEST_KEY_HPP
#define MEDLAR_DETAIL_DISPATCH_REQUEST_KEY_HPP

#include <medlar/detail/base/strong_type.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>

namespace medlar
{

/// @brief Hash of what a target is asked to do; the attempts of one request have the same
/// one, whichever host they come to.
using request_key = strong_type<struct request_key_tag, std::uint64_t>;

/// @brief What makes two requests the same for a target
struct request_identity
{
    absl::string_view method;
    absl::string_view host;
    /// path and query
    absl::string_view target;
    /// the organisation, or the access key if that is unknown
    absl::string_view caller;
    absl::string_view body;
};

/// @brief Returns the key of a request.
request_key key_of_request(const request_identity& request);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REQUEST_KEY_HPP
