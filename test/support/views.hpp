#ifndef MEDLAR_TEST_SUPPORT_VIEWS_HPP
#define MEDLAR_TEST_SUPPORT_VIEWS_HPP

#include <medlar/detail/cluster/view.hpp>

#include <string>
#include <vector>

namespace medlar::testing
{

/// @brief Returns a member on host "h<number>" whose incarnation is the number.
inline view_member member(std::uint64_t number)
{
    view_member result;
    result.host = host_id("h" + std::to_string(number));
    result.process = incarnation(number);
    result.link = endpoint{"127.0.0.1", static_cast<std::uint16_t>(7000 + number)};
    result.failure_domain = failure_domain_id("d" + std::to_string(number % 3));
    return result;
}

inline std::vector<view_member> members(const std::vector<std::uint64_t>& numbers)
{
    std::vector<view_member> result;
    for (const std::uint64_t number : numbers)
    {
        result.push_back(member(number));
    }
    return result;
}

/// @brief Returns the record of a first view with these members.
inline view_record first_record(const std::vector<std::uint64_t>& numbers)
{
    view_record record;
    record.current.epoch = view_epoch(1);
    record.current.members = members(numbers);
    return record;
}

/// @brief Returns a key hash whose home in each of @p views is the incarnation at the
/// same position of @p homes.
inline std::uint64_t key_with_homes(const std::vector<view>& views,
                                    const std::vector<std::uint64_t>& homes)
{
    for (std::uint64_t hash = 1;; ++hash)
    {
        bool matches = true;
        for (std::size_t i = 0; i < views.size(); ++i)
        {
            matches =
                matches && home_of(views[i], hash)->process == incarnation(homes[i]);
        }
        if (matches)
        {
            return hash;
        }
    }
}

} // namespace medlar::testing

#endif // MEDLAR_TEST_SUPPORT_VIEWS_HPP
