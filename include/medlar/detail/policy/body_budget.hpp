#ifndef MEDLAR_DETAIL_POLICY_BODY_BUDGET_HPP
#define MEDLAR_DETAIL_POLICY_BODY_BUDGET_HPP

#include <medlar/detail/base/ids.hpp>

#include <atomic>
#include <cstdint>

namespace medlar
{

/// @brief Bounds the bytes that the bodies of all callers hold together. Has no I/O and
/// no clock; used by many threads.
///
/// Load: hundreds of clients whose bodies stop just short of their end. What exceeds the
/// budget is refused before anything of it has run. Bodies of up to small_body_bytes may
/// use all of it and larger ones three quarters, so that ordinary requests are still
/// taken while large bodies that never end hold their share.
class body_budget
{
  public:
    /// bodies of up to this size are ordinary
    static constexpr std::int64_t small_body_bytes = 16384;

    explicit body_budget(byte_count total) : total_(total.get())
    {
    }

    /// @brief Takes bytes for a body.
    /// @param held what was taken for the same body before
    /// @return false if it has to be refused; nothing was taken then
    bool take(byte_count more, byte_count held);

    /// @brief Gives bytes back that were taken.
    void give_back(byte_count taken)
    {
        used_ -= taken.get();
    }

    /// @brief Returns the bytes that all bodies hold.
    byte_count used() const
    {
        return byte_count(used_);
    }

  private:
    const std::int64_t total_;
    std::atomic<std::int64_t> used_{0};
};

/// @brief What one body has taken of a budget; gives it back at its end.
class body_charge
{
  public:
    explicit body_charge(body_budget& budget) : budget_(budget)
    {
    }

    ~body_charge()
    {
        budget_.give_back(taken_);
    }

    body_charge(const body_charge&) = delete;
    body_charge& operator=(const body_charge&) = delete;

    /// @brief Takes what is missing to a number of bytes.
    /// @return false if the body has to be refused
    bool raise_to(byte_count bytes);

  private:
    body_budget& budget_;
    byte_count taken_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_BODY_BUDGET_HPP
