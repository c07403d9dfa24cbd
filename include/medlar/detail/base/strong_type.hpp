#ifndef MEDLAR_DETAIL_BASE_STRONG_TYPE_HPP
#define MEDLAR_DETAIL_BASE_STRONG_TYPE_HPP

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace medlar
{

/// @brief A value of type @p Value that cannot be mixed with another kind.
/// @tparam Tag an incomplete type that names the kind
template <typename Tag, typename Value>
class strong_type
{
  public:
    using value_type = Value;

    strong_type() = default;

    explicit strong_type(Value value) : value_(std::move(value))
    {
    }

    /// @brief the plain value, for output and for libraries
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

/// @brief hash of a strong type, equal to the hash of its value
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
