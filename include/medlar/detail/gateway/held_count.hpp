#ifndef MEDLAR_DETAIL_GATEWAY_HELD_COUNT_HPP
#define MEDLAR_DETAIL_GATEWAY_HELD_COUNT_HPP

#include <atomic>

namespace medlar
{

/// @brief one request that a counter counts as long as this lives
class held_count
{
  public:
    explicit held_count(std::atomic<int>& counter) : counter_(counter), number_(++counter)
    {
    }

    held_count(const held_count&) = delete;
    held_count& operator=(const held_count&) = delete;

    ~held_count()
    {
        --counter_;
    }

    /// @brief how many were counted when this was, this one included
    int number() const
    {
        return number_;
    }

  private:
    std::atomic<int>& counter_;
    int number_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_HELD_COUNT_HPP
