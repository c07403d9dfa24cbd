#ifndef MEDLAR_TEST_SUPPORT_FAKE_GATEWAY_HPP
#define MEDLAR_TEST_SUPPORT_FAKE_GATEWAY_HPP

#include <medlar/detail/link/link.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace medlar::testing
{

/// @brief Fake gateway that serves `/v1/control` and `/v1/state` with responses set by
/// the test. It adopts pushed configuration revisions and view epochs as a real gateway
/// does.
class fake_gateway
{
  public:
    fake_gateway()
    {
        status_ = {{"host", "h1"},
                   {"process", 1},
                   {"configuration", 0},
                   {"adopted", 0},
                   {"newest", 0},
                   {"member", false},
                   {"may_propose", true},
                   {"not_heard", nlohmann::json::array()},
                   {"waiting", nlohmann::json::array()}};
        auto server = link_server::create(
            {"127.0.0.1", 0},
            [this](const link_request& request, link_responder& responder)
            {
                return answer(request, responder);
            },
            16);
        CPPUNIT_ASSERT(server.ok());
        server_ = *std::move(server);
    }

    endpoint where() const
    {
        return server_->where();
    }

    /// @brief Updates fields of the status in the response to `/v1/control`.
    void set(const nlohmann::json& fields)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        status_.update(fields);
    }

    /// @brief Sets the response to `/v1/state`.
    void set_state(const nlohmann::json& state)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_ = state;
    }

    /// @brief Returns all pushed fields, each with its newest value.
    nlohmann::json pushed() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return pushed_;
    }

    /// @brief Waits up to 20 s until the pushed fields satisfy a condition; fails the
    /// test otherwise.
    void wait_until(const std::function<bool(const nlohmann::json&)>& condition)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const bool done = changed_.wait_for(lock,
                                            std::chrono::seconds(20),
                                            [this, &condition]
                                            {
                                                return condition(pushed_);
                                            });
        CPPUNIT_ASSERT_MESSAGE(pushed_.dump(), done);
    }

    /// @brief Waits up to 20 s for @p count further pushes; fails the test otherwise.
    void wait_for_pushes(int count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const int target_count = pushes_ + count;
        const bool done = changed_.wait_for(lock,
                                            std::chrono::seconds(20),
                                            [this, target_count]
                                            {
                                                return pushes_ >= target_count;
                                            });
        CPPUNIT_ASSERT(done);
    }

  private:
    int answer(const link_request& request, link_responder& responder)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/v1/state")
        {
            responder.send(state_.dump());
            return 200;
        }
        const nlohmann::json push = nlohmann::json::parse(request.body);
        pushed_.update(push);
        if (push.contains("view"))
        {
            status_["newest"] = push["view"]["current"]["epoch"];
            status_["adopted"] = status_["newest"];
        }
        if (push.contains("configuration"))
        {
            revisions_.push_back(push["configuration"]["revision"].get<int>());
            status_["configuration"] = revisions_.back();
        }
        ++pushes_;
        changed_.notify_all();
        responder.send(status_.dump());
        return 200;
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    nlohmann::json status_;
    nlohmann::json state_ = nlohmann::json::object();
    nlohmann::json pushed_ = nlohmann::json::object();
    std::vector<int> revisions_;
    int pushes_ = 0;
    std::unique_ptr<link_server> server_;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_SUPPORT_FAKE_GATEWAY_HPP
