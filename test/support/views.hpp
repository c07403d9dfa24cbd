#ifndef MEDLAR_TEST_SUPPORT_VIEWS_HPP
#define MEDLAR_TEST_SUPPORT_VIEWS_HPP

#include <medlar/detail/cluster/view.hpp>

#include <string>
#include <vector>

namespace medlar::testing
{

/// @brief a member of host "h<number>" whose process has the number as incarnation
inline view_member member(std::uint64_t number)
{
    view_member made;
    made.host = host_id("h" + std::to_string(number));
    made.process = incarnation(number);
    made.link = endpoint{"127.0.0.1", static_cast<std::uint16_t>(7000 + number)};
    made.failure_domain = failure_domain_id("d" + std::to_string(number % 3));
    return made;
}

inline std::vector<view_member> members(const std::vector<std::uint64_t>& numbers)
{
    std::vector<view_member> made;
    for (const std::uint64_t number : numbers)
    {
        made.push_back(member(number));
    }
    return made;
}

/// @brief the record of the first view
inline view_record first_record(const std::vector<std::uint64_t>& numbers)
{
    view_record record;
    record.current.epoch = view_epoch(1);
    record.current.members = members(numbers);
    return record;
}

/// @brief hash of some key whose home is @p wanted in each of @p views
inline std::uint64_t key_with_homes(const std::vector<view>& views,
                                    const std::vector<std::uint64_t>& wanted)
{
    for (std::uint64_t hash = 1;; ++hash)
    {
        bool fits = true;
        for (std::size_t i = 0; i < views.size(); ++i)
        {
            fits = fits && home_of(views[i], hash)->process == incarnation(wanted[i]);
        }
        if (fits)
        {
            return hash;
        }
    }
}

} // namespace medlar::testing

#endif // MEDLAR_TEST_SUPPORT_VIEWS_HPP
