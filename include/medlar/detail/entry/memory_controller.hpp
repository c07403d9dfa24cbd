#ifndef MEDLAR_DETAIL_ENTRY_MEMORY_CONTROLLER_HPP
#define MEDLAR_DETAIL_ENTRY_MEMORY_CONTROLLER_HPP

#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Applies the memory budget of a host to the connections of its servers.
class memory_controller
{
  public:
    explicit memory_controller(entry_context& context);

    /// @brief Sets the budget and the bounds of the servers to those of the settings.
    void apply_settings();

    /// @brief Applies the budget to @p server, which must outlive the last tick().
    void add_server(http_server& server);

    /// @brief Ends or resumes connections if memory is short, and returns freed memory to
    /// the system.
    void tick();

    void write_metrics() const;

  private:
    void relieve();
    void record(const char* why, std::uint64_t& count);
    void log_shortage();

    entry_context& context_;
    std::vector<http_server*> servers_;
    std::uint64_t recorded_evictions_ = 0;
    /// since the last line of the log
    std::uint64_t stalled_ = 0;
    std::uint64_t slow_readers_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t evicted_ = 0;
    std::size_t most_paused_ = 0;
    std::optional<steady_time> logged_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_MEMORY_CONTROLLER_HPP
