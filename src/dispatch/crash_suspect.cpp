#include <medlar/detail/dispatch/crash_suspect.hpp>

#include <xxhash.h>

namespace medlar
{

crash_suspect suspect_of_part(const std::string& id)
{
    return crash_suspect(XXH3_64bits(id.data(), id.size()));
}

request_suspects suspects_of(request_key request, const std::vector<prompt_part>& prompt)
{
    request_suspects suspects;
    std::uint64_t hash = request.get();
    for (const prompt_part& each : prompt)
    {
        suspects.prompt.push_back(suspect_of_part(each.id));
        hash = XXH3_64bits_withSeed(each.id.data(), each.id.size(), hash);
    }
    suspects.request = crash_suspect(hash);
    return suspects;
}

} // namespace medlar
