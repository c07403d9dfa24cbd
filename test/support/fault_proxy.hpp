#ifndef MEDLAR_TEST_SUPPORT_FAULT_PROXY_HPP
#define MEDLAR_TEST_SUPPORT_FAULT_PROXY_HPP

#include "support/held_port.hpp"

#include <medlar/detail/loop/connection.hpp>

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief fault that a proxy applies to the bytes it forwards
enum class path_fault
{
    none,
    delayed,       ///< bytes are forwarded after a delay
    resetting,     ///< open and new connections are closed
    requests_lost, ///< drops bytes from the caller, forwards answers
    answers_lost,  ///< forwards bytes from the caller, drops answers
    silent,        ///< drops all bytes, connections stay open
};

/// @brief TCP proxy to one address that injects faults. It keeps its port also while it
/// does not listen.
class fault_proxy
{
  public:
    /// @param at address to listen on
    /// @param to address that connections are forwarded to
    fault_proxy(event_loop& loop, const endpoint& at, const endpoint& to);
    ~fault_proxy();

    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

    void set_fault(path_fault fault);

    path_fault fault() const
    {
        return fault_;
    }

    /// @brief Closes all connections and refuses new ones, as if the process behind the
    /// address had ended.
    void stop();

    /// @brief Like stop(), but the callers' connections are reset.
    void stop_by_reset();

    /// @brief Lets open connections hang, and new ones too: they are never established,
    /// as if the path to the address was cut.
    void hang();

    /// @brief Refuses new connections; open ones go on.
    void refuse_new();

    /// @brief Accepts connections again, after one of the functions above.
    void resume();

    /// called with the port of a caller and bytes from it before they are forwarded; may
    /// be empty
    std::function<void(std::uint16_t, absl::string_view)> on_forward;

  private:
    struct proxied_connection;

    /// one end of a proxied connection
    class side : public connection_handler
    {
      public:
        side(proxied_connection& of, bool is_caller) : owner_(of), is_caller_(is_caller)
        {
        }

        void on_input() override;
        void on_end(connection_end how) override;

      private:
        proxied_connection& owner_;
        bool is_caller_;
    };

    struct proxied_connection : std::enable_shared_from_this<proxied_connection>
    {
        explicit proxied_connection(fault_proxy& of)
            : proxy(of), caller_side(*this, true), target_side(*this, false)
        {
        }

        fault_proxy& proxy;
        side caller_side;
        side target_side;
        std::shared_ptr<connection> caller;
        std::uint16_t caller_port = 0;
        std::shared_ptr<connection> target;
        bool is_closed = false;
    };

    /// accepts connections until it is closed
    class acceptor : public socket_handler
    {
      public:
        explicit acceptor(fault_proxy& of) : owner_(&of)
        {
        }

        void on_ready(readiness ready) override;

        void close()
        {
            owner_ = nullptr;
        }

      private:
        fault_proxy* owner_;
    };

    void listen();
    void accept_next();
    void accept(std::shared_ptr<connection> caller, std::uint16_t caller_port);
    void close_listener();
    void forward(proxied_connection& pair, bool from_caller);
    void close_both(proxied_connection& pair, bool from_caller);

    event_loop& loop_;
    endpoint where_;
    held_port port_;
    endpoint upstream_;
    path_fault fault_ = path_fault::none;
    Poco::Net::ServerSocket listening_;
    /// null while it does not listen
    std::shared_ptr<acceptor> acceptor_;
    /// accepts nothing; its queue is full
    Poco::Net::ServerSocket full_;
    std::vector<Poco::Net::StreamSocket> queued_;
    std::set<std::shared_ptr<proxied_connection>> connections_;
    // set to false by the destructor; timers that are still pending check it
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_FAULT_PROXY_HPP
