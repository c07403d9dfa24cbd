#ifndef MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP
#define MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP

#include <medlar/detail/config/document.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace medlar
{

/// @brief one field that differs between two documents
struct difference
{
    /// names from the root, such as "pools.engines.targets.engine-1.drained"
    std::string path;
    /// JSON text; empty: it was not there
    std::string before;
    /// JSON text; empty: it is not there any more
    std::string after;
};

/// @brief Lists what changed, in the order of paths; the keys of organisations are
/// masked.
std::vector<difference> differences_between(const document& before,
                                            const document& after);

/// @brief the first @p limit of a list; a last item tells how many were left out
std::vector<difference> truncate_differences(std::vector<difference> all,
                                             std::size_t limit);

/// @brief a digest of a document's JSON form, in hexadecimal
std::string digest_of(const document& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP
