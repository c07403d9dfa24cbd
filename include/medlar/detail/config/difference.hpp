#ifndef MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP
#define MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP

#include <medlar/detail/config/document.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace medlar
{

/// @brief a field that differs between two documents
struct difference
{
    /// path from the root, such as "pools.engines.targets.engine-1.drained"
    std::string path;
    /// old value as JSON; empty: the field was added
    std::string before;
    /// new value as JSON; empty: the field was removed
    std::string after;
};

/// @brief Returns the fields that differ, ordered by path. The keys of organisations
/// are masked.
std::vector<difference> differences_between(const document& before,
                                            const document& after);

/// @brief Truncates a list to @p limit entries; if any are omitted, a last entry gives
/// their number.
std::vector<difference> truncate_differences(std::vector<difference> all,
                                             std::size_t limit);

/// @brief Returns a hexadecimal digest of a document's JSON form.
std::string digest_of(const document& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DIFFERENCE_HPP
