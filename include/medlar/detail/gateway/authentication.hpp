#ifndef MEDLAR_DETAIL_GATEWAY_AUTHENTICATION_HPP
#define MEDLAR_DETAIL_GATEWAY_AUTHENTICATION_HPP

#include <medlar/detail/config/document.hpp>

#include <string>

namespace medlar
{

/// @brief Whether the value of an Authorization header has the key of an organisation;
/// the time it takes does not tell how much of the key is right.
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
