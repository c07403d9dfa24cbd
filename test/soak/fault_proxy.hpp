#ifndef MEDLAR_TEST_SOAK_FAULT_PROXY_HPP
#define MEDLAR_TEST_SOAK_FAULT_PROXY_HPP

#include <medlar/detail/loop/listener.hpp>

#include <memory>
#include <set>
#include <string>

namespace medlar::soak
{

/// @brief what a proxy does to the bytes that pass it
enum class path_fault
{
    none,
    delayed,       ///< bytes arrive late
    resetting,     ///< connections are reset, new ones too
    requests_lost, ///< what callers send is lost, answers pass
    answers_lost,  ///< what callers send passes, answers are lost
    silent,        ///< everything is lost, connections stay open
};

/// @brief Passes connections on to one address, with faults.
class fault_proxy
{
  public:
    /// @param to where connections lead; may be set later
    fault_proxy(event_loop& loop, const endpoint& at, const endpoint& to);
    ~fault_proxy();

    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

    void set_fault(path_fault fault);

  private:
    struct passage;

    /// one end of a passed connection
    class side : public connection_handler
    {
      public:
        side(passage& of, bool is_caller) : of_(of), is_caller_(is_caller)
        {
        }

        void on_input() override;
        void on_end(connection_end how) override;

      private:
        passage& of_;
        bool is_caller_;
    };

    struct passage : std::enable_shared_from_this<passage>
    {
        explicit passage(fault_proxy& of)
            : proxy(of), caller_side(*this, true), target_side(*this, false)
        {
        }

        fault_proxy& proxy;
        side caller_side;
        side target_side;
        std::shared_ptr<connection> caller;
        std::shared_ptr<connection> target;
        bool is_over = false;
    };

    void accept(std::shared_ptr<connection> caller);
    void pass(passage& on, bool from_caller);
    void end(passage& which, bool from_caller);

    event_loop& loop_;
    endpoint where_;
    endpoint to_;
    path_fault fault_ = path_fault::none;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<passage>> passages_;
    // cleared when the proxy goes, for timers that are still set
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_FAULT_PROXY_HPP
