#ifndef MEDLAR_TEST_SUPPORT_ENTRY_TOLD_PEER_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_TOLD_PEER_HPP

#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief A peer of an entry host, which says of streams what the test tells it.
class told_peer
{
  public:
    told_peer(event_loop& loop, std::string name)
        : name_(std::move(name)), where_(free_endpoint())
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                const auto holder = std::make_shared<std::weak_ptr<message_link>>();
                links_.push_back(message_link::create(
                    accepted,
                    [this, holder](const nlohmann::json& message)
                    {
                        messages.push_back(message);
                        if (message.at("type") == "origin?")
                        {
                            answer(message, *holder->lock());
                        }
                    },
                    [](connection_end) {}));
                *holder = links_.back();
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~told_peer()
    {
        end();
    }

    told_peer(const told_peer&) = delete;
    told_peer& operator=(const told_peer&) = delete;

    void register_at(stand_in_store& store) const
    {
        store.put("medlar/hosts/" + name_,
                  nlohmann::json({{"address", where_.address},
                                  {"port", where_.port},
                                  {"domain", "b"},
                                  {"share", 1.0}})
                      .dump());
    }

    void end_links()
    {
        for (const auto& each : links_)
        {
            each->close();
        }
        links_.clear();
    }

    void end()
    {
        listener_->close();
        end_links();
    }

    /// where the streams began that it was told of; null if it was told of none
    nlohmann::json origin;
    /// the processes without a known version; null if its build does not name them
    nlohmann::json unlisted = nlohmann::json::array();
    std::vector<nlohmann::json> messages;

  private:
    void answer(const nlohmann::json& question, message_link& link) const
    {
        nlohmann::json said{{"type", "origin"},
                            {"number", question.at("number")},
                            {"possible", {{{"pool", "plain"}, {"version", "v1"}}}}};
        if (!origin.is_null())
        {
            said["origin"] = origin;
        }
        if (!unlisted.is_null())
        {
            said["unlisted"] = unlisted;
        }
        link.send(said);
    }

    std::string name_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::vector<std::shared_ptr<message_link>> links_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_TOLD_PEER_HPP
