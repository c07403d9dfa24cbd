#ifndef MEDLAR_DETAIL_GATEWAY_AUTHENTICATION_HPP
#define MEDLAR_DETAIL_GATEWAY_AUTHENTICATION_HPP

#include <medlar/detail/config/document.hpp>

#include <string>

namespace medlar
{

/// @brief Returns whether an Authorization header carries the organisation's key, or the
/// organisation has none. Compares in constant time.
inline bool is_authentic(const organisation& caller_organisation,
                         const std::string& authorization)
{
    if (caller_organisation.key.empty())
    {
        return true;
    }
    const std::string expected = "Bearer " + caller_organisation.key;
    unsigned difference = expected.size() == authorization.size() ? 0 : 1;
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        const char given = i < authorization.size() ? authorization[i] : '\0';
        difference |= static_cast<unsigned char>(expected[i] ^ given);
    }
    return difference == 0;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_AUTHENTICATION_HPP
