#ifndef MEDLAR_DETAIL_BASE_STRONG_TYPE_HPP
#define MEDLAR_DETAIL_BASE_STRONG_TYPE_HPP

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace medlar
{

/// @brief Wraps a @p Value so that values with different tags cannot be mixed up.
/// @tparam Tag an incomplete type that makes the wrapper a distinct type
template <typename Tag, typename Value>
class strong_type
{
  public:
    using value_type = Value;

    strong_type() = default;

    explicit strong_type(Value value) : value_(std::move(value))
    {
    }

    /// @brief Returns the wrapped value, for output and library calls.
    const Value& get() const
    {
        return value_;
    }

    friend bool operator==(const strong_type& a, const strong_type& b)
    {
        return a.value_ == b.value_;
    }

    friend bool operator!=(const strong_type& a, const strong_type& b)
    {
        return !(a == b);
    }

    friend bool operator<(const strong_type& a, const strong_type& b)
    {
        return a.value_ < b.value_;
    }

    friend bool operator>(const strong_type& a, const strong_type& b)
    {
        return b < a;
    }

    friend bool operator<=(const strong_type& a, const strong_type& b)
    {
        return !(b < a);
    }

    friend bool operator>=(const strong_type& a, const strong_type& b)
    {
        return !(a < b);
    }

    friend std::ostream& operator<<(std::ostream& out, const strong_type& value)
    {
        return out << value.value_;
    }

  private:
    Value value_{};
};

} // namespace medlar

namespace std
{

/// @brief hash of a strong type: the hash of its value
template <typename Tag, typename Value>
struct hash<medlar::strong_type<Tag, Value>>
{
    size_t operator()(const medlar::strong_type<Tag, Value>& value) const
    {
        return hash<Value>{}(value.get());
    }
};

} // namespace std

#endif // MEDLAR_DETAIL_BASE_STRONG_TYPE_HPP
