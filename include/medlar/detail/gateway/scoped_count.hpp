#ifndef MEDLAR_DETAIL_GATEWAY_SCOPED_COUNT_HPP
#define MEDLAR_DETAIL_GATEWAY_SCOPED_COUNT_HPP

#include <atomic>

namespace medlar
{

/// @brief Increments a counter during the lifetime of this object.
class scoped_count
{
  public:
    explicit scoped_count(std::atomic<int>& counter)
        : counter_(counter), initial_count_(++counter)
    {
    }

    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

    ~scoped_count()
    {
        --counter_;
    }

    /// @brief Returns the count after the increment.
    int initial_count() const
    {
        return initial_count_;
    }

  private:
    std::atomic<int>& counter_;
    int initial_count_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_SCOPED_COUNT_HPP
