#ifndef MEDLAR_TEST_SUPPORT_ENTRY_EARLY_STORE_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_EARLY_STORE_HPP

#include "support/free_endpoint.hpp"

#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/loop/listener.hpp>

#include <absl/strings/match.h>
#include <cppunit/TestAssert.h>

#include <memory>
#include <set>
#include <string>
#include <utility>

namespace medlar::test
{

/// @brief How a store ends its connection after an early answer.
enum class early_store_end
{
    reset,
    close, ///< after its last byte, with the request read
};

/// @brief Answers some calls to a store once it has their heads, and ends the connection;
/// these calls never reach the store. All other calls are passed on.
class early_store
{
  public:
    early_store(event_loop& loop, const endpoint& to)
        : loop_(loop), to_(to), where_(free_endpoint())
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                calls_.insert(std::make_shared<proxied>(*this, accepted));
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~early_store()
    {
        listener_->close();
        for (const auto& each : calls_)
        {
            each->detach();
        }
    }

    early_store(const early_store&) = delete;
    early_store& operator=(const early_store&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

    /// calls whose target begins so are answered early
    std::string target_prefix;
    std::string answer;
    early_store_end how = early_store_end::reset;
    /// number of calls that are still to be answered early
    int left = 0;
    int answered = 0;
    /// number of calls whose target begins so
    int calls = 0;

  private:
    class proxied : public std::enable_shared_from_this<proxied>
    {
      public:
        proxied(early_store& owner, std::shared_ptr<connection> caller)
            : owner_(owner),
              caller_(std::move(caller)),
              store_(connection::connect(owner.loop_, owner.to_, millis(1000)))
        {
            caller_->set_handler(&caller_side_);
            store_->set_handler(&store_side_);
        }

        void pass_request()
        {
            if (begins_call_ && !begin_call())
            {
                return;
            }
            pass(*caller_, *store_);
        }

        void pass_answer()
        {
            begins_call_ = true;
            pass(*store_, *caller_);
        }

        void end()
        {
            const std::shared_ptr<proxied> self = shared_from_this();
            detach();
            owner_.calls_.erase(self);
            // the callback that led here still uses the object
            owner_.loop_.after(millis(0), [self] {});
        }

        void detach()
        {
            caller_->set_handler(nullptr);
            store_->set_handler(nullptr);
            store_->close();
            if (!is_answered_)
            {
                caller_->close();
            }
        }

      private:
        class side : public connection_handler
        {
          public:
            side(proxied& owner, void (proxied::*action)())
                : owner_(owner), action_(action)
            {
            }

            void on_input() override
            {
                (owner_.*action_)();
            }

            void on_end(connection_end) override
            {
                owner_.end();
            }

          private:
            proxied& owner_;
            void (proxied::*action_)();
        };

        /// @return whether a call was begun that is passed on
        bool begin_call()
        {
            constexpr std::size_t max_head_bytes = 65536;
            const auto parsed = parse_request_head(caller_->input(), max_head_bytes);
            const auto* const found = std::get_if<parsed_head<request_head>>(&parsed);
            if (found == nullptr)
            {
                return false;
            }
            begins_call_ = false;
            if (!absl::StartsWith(found->head.target, owner_.target_prefix))
            {
                return true;
            }
            ++owner_.calls;
            if (owner_.left == 0)
            {
                return true;
            }
            --owner_.left;
            ++owner_.answered;
            is_answered_ = true;
            caller_->send(owner_.answer);
            if (owner_.how == early_store_end::reset)
            {
                caller_->reset();
            }
            else
            {
                caller_->close_after_output();
            }
            end();
            return false;
        }

        static void pass(connection& from, connection& to)
        {
            const std::string bytes(from.input());
            from.consume(bytes.size());
            to.send(bytes);
        }

        early_store& owner_;
        std::shared_ptr<connection> caller_;
        std::shared_ptr<connection> store_;
        side caller_side_{*this, &proxied::pass_request};
        side store_side_{*this, &proxied::pass_answer};
        bool begins_call_ = true;
        bool is_answered_ = false;
    };

    event_loop& loop_;
    endpoint to_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<proxied>> calls_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_EARLY_STORE_HPP
