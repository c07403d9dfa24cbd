#ifndef MEDLAR_DETAIL_MEMBERSHIP_REQUEST_PLACER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_REQUEST_PLACER_HPP

#include <medlar/detail/membership/exchange_core.hpp>

#include <optional>

namespace medlar
{

/// @brief Decides where requests run, from the claims and the ownership of this process.
/// @note Safe to call from every thread.
class request_placer
{
  public:
    explicit request_placer(exchange_core& core);

    /// @brief see exchange::place()
    placement place(const owned_request& request);

  private:
    /// @brief a placement, the claim of an earlier attempt, or, while the home is not
    /// settled, the answer if the request cannot wait
    using attempt = std::variant<placement, claim, ownership_pending>;

    attempt try_place(const owned_request& request);
    attempt open_claim(const owned_request& request);
    attempt place_by_earlier_home(const handover_pending& found) const;
    placement place_by_claim(const owned_request& request, const claim& found) const;
    placement relay_to_runner(const claim& found) const;

    exchange_core& core_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_REQUEST_PLACER_HPP
