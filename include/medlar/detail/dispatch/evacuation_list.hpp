#ifndef MEDLAR_DETAIL_DISPATCH_EVACUATION_LIST_HPP
#define MEDLAR_DETAIL_DISPATCH_EVACUATION_LIST_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief The evacuations in force. Has no I/O and no clock.
///
/// A store that has returned from an old copy may lack an evacuation, which the operator
/// then writes again. Until then it is held: it stays in force for a limited time.
class evacuation_list
{
  public:
    /// @brief Records that the store shows an evacuation; it is held no longer.
    /// @return whether the failure domain was not evacuated before
    bool begin(const failure_domain_id& domain);

    /// @brief Records that an evacuation was withdrawn.
    /// @return whether the failure domain was evacuated
    bool end(const failure_domain_id& domain);

    /// @brief Records that an evacuation in force is missing in a store that may have
    /// lost it.
    /// @return whether it is in force and was not held before
    bool hold(const failure_domain_id& domain, steady_time until);

    /// @brief Records that another host holds an evacuation. One that the store shows to
    /// this host, or that it holds itself, stays as it is.
    /// @return whether the failure domain was not evacuated before
    bool begin_held(const failure_domain_id& domain, steady_time until);

    /// @brief Ends the evacuations that are held no longer.
    /// @return their failure domains
    std::vector<failure_domain_id> end_held(steady_time now);

    /// @brief Returns the failure domains whose evacuations are held, and until when.
    std::map<failure_domain_id, steady_time> held() const;

    /// @brief Returns the failure domains in force; the value is set if it is held.
    const std::map<failure_domain_id, std::optional<steady_time>>& all() const
    {
        return domains_;
    }

  private:
    std::map<failure_domain_id, std::optional<steady_time>> domains_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_EVACUATION_LIST_HPP
