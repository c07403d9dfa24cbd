#ifndef MEDLAR_DETAIL_ENTRY_CRASH_CHECK_HPP
#define MEDLAR_DETAIL_ENTRY_CRASH_CHECK_HPP

#include <medlar/detail/loop/connection.hpp>

#include <functional>
#include <memory>

namespace medlar
{

/// @brief Finds out whether a target that broke off its calls has crashed: nothing
/// listens at its address then. A target that resets single connections accepts new ones.
class crash_check : public connection_handler
{
  public:
    /// @param on_result called once with whether the target has crashed
    crash_check(event_loop& loop,
                const endpoint& where,
                std::function<void(bool)> on_result);
    ~crash_check() override;

    crash_check(const crash_check&) = delete;
    crash_check& operator=(const crash_check&) = delete;

    void on_connected() override;
    void on_input() override;
    void on_end(connection_end reason) override;

  private:
    void finish(bool has_crashed);

    event_loop& loop_;
    std::function<void(bool)> on_result_;
    std::shared_ptr<connection> stream_;
    timer_id timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_CRASH_CHECK_HPP
