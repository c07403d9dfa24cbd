#ifndef MEDLAR_TEST_SUPPORT_ENTRY_RECORDED_LINKS_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_RECORDED_LINKS_HPP

#include "support/entry/entry_group.hpp"

#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <absl/strings/match.h>

#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Passes on what is sent to hosts that register from now on, and what they
/// answer, and keeps it.
class recorded_links
{
  public:
    explicit recorded_links(entry_group& hosts) : hosts_(hosts)
    {
        hosts.store.rewrite = [this](const std::string& key, const std::string& value)
        {
            return absl::StartsWith(key, "medlar/hosts/") ? behind_relay(value) : value;
        };
    }

    recorded_links(const recorded_links&) = delete;
    recorded_links& operator=(const recorded_links&) = delete;

    ~recorded_links()
    {
        hosts_.store.rewrite = nullptr;
        for (const std::shared_ptr<listener>& each : listeners_)
        {
            each->close();
        }
        for (const link_pair& each : links_)
        {
            each.asking->close();
            each.asked->close();
        }
    }

    std::vector<nlohmann::json> messages;

    /// fields that these hosts neither read nor send, as in an earlier build
    std::vector<std::string> unknown_fields;

  private:
    struct link_pair
    {
        std::shared_ptr<message_link> asking;
        std::shared_ptr<message_link> asked;
    };

    std::string behind_relay(const std::string& value)
    {
        nlohmann::json registration = nlohmann::json::parse(value);
        const endpoint host{registration.at("address").get<std::string>(),
                            registration.at("port").get<std::uint16_t>()};
        const endpoint where = free_endpoint();
        auto opened = listener::open(
            hosts_.loop,
            where,
            [this, host](const std::shared_ptr<connection>& accepted)
            {
                relay(accepted, host);
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listeners_.push_back(*std::move(opened));
        // a host of an earlier build does not say that it heeds rulings on refusals, so
        // it gets none
        registration.erase("refusals");
        registration["address"] = where.address;
        registration["port"] = where.port;
        return registration.dump();
    }

    void relay(const std::shared_ptr<connection>& accepted, const endpoint& host)
    {
        const std::size_t number = links_.size();
        links_.emplace_back();
        const auto close_both = [this, number](connection_end)
        {
            links_[number].asking->close();
            links_[number].asked->close();
        };
        links_[number].asked = message_link::create(
            connection::connect(hosts_.loop, host, millis(1000)),
            [this, number](const nlohmann::json& message)
            {
                pass_on(message, *links_[number].asking);
            },
            close_both);
        links_[number].asking = message_link::create(
            accepted,
            [this, number](const nlohmann::json& message)
            {
                pass_on(message, *links_[number].asked);
            },
            close_both);
    }

    void pass_on(const nlohmann::json& message, message_link& to)
    {
        messages.push_back(message);
        nlohmann::json passed = message;
        for (const std::string& each : unknown_fields)
        {
            passed.erase(each);
        }
        to.send(passed);
    }

    entry_group& hosts_;
    std::vector<std::shared_ptr<listener>> listeners_;
    std::vector<link_pair> links_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_RECORDED_LINKS_HPP
