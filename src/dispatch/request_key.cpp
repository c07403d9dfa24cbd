#include <medlar/detail/dispatch/request_key.hpp>

#include <xxhash.h>

namespace medlar
{

request_key key_of_request(const request_identity& request)
{
    std::uint64_t hash = 0;
    for (const absl::string_view each :
         {request.method, request.host, request.target, request.caller, request.body})
    {
        hash = XXH3_64bits_withSeed(each.data(), each.size(), hash);
    }
    return request_key(hash);
}

} // namespace medlar
