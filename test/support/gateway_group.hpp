#ifndef MEDLAR_TEST_SUPPORT_GATEWAY_GROUP_HPP
#define MEDLAR_TEST_SUPPORT_GATEWAY_GROUP_HPP

#include <medlar/detail/config/json.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/membership/exchange.hpp>

#include <absl/strings/str_cat.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace medlar::testing
{

inline void wait_until(const std::function<bool()>& condition)
{
    while (!condition())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

/// @brief Returns short durations, so that tests of leases finish quickly.
inline ownership_timing short_timing()
{
    ownership_timing timing;
    timing.lease_duration = millis(600);
    timing.drift_allowance = millis(20);
    timing.renew_interval = millis(150);
    timing.max_caller_skew = millis(40);
    timing.max_host_skew = millis(10);
    return timing;
}

/// @brief an exchange with its link server, running in the test process
class gateway_node
{
  public:
    gateway_node(std::uint64_t process,
                 const std::string& host,
                 const endpoint& address,
                 const std::vector<endpoint>& seeds,
                 const ownership_timing& timing)
        : time_(clock::system()),
          claims_(claim_table::create(timing.claim_lifetime(), byte_count(100000000))),
          links_(link_client::create())
    {
        constexpr int max_streams = 32;
        auto server = link_server::create(
            address,
            [this](const link_request& request, link_responder& responder)
            {
                exchange* const serving = serving_.load();
                return serving == nullptr
                           ? 503
                           : serving->handle(request, responder).value_or(404);
            },
            max_streams);
        server_ = *std::move(server);
        settings_.self.host = host_id(host);
        settings_.self.process = incarnation(process);
        settings_.self.link = server_->where();
        settings_.self.failure_domain = failure_domain_id("d");
        settings_.timing = timing;
        settings_.seeds = seeds;
        exchange_ = exchange::create(settings_, time_, *claims_, *links_);
        serving_.store(exchange_.get());
    }

    ~gateway_node()
    {
        exchange_->stop();
        server_.reset();
    }

    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    exchange& peers()
    {
        return *exchange_;
    }

    claim_table& claims()
    {
        return *claims_;
    }

    link_client& links()
    {
        return *links_;
    }

    const view_member& self() const
    {
        return settings_.self;
    }

    /// @brief Calls a path of this node over a link.
    absl::StatusOr<link_reply> call(const std::string& path, const std::string& body)
    {
        link_call outgoing;
        outgoing.to = settings_.self.link;
        outgoing.path = path;
        outgoing.body = body;
        outgoing.timeout = millis(10000);
        return links_->call(outgoing);
    }

    void send_control(const view_record& record)
    {
        call("/v1/control", absl::StrCat("{\"view\":", write_view_record(record), "}"))
            .IgnoreError();
    }

    void send_control(const accepted_document& accepted)
    {
        call("/v1/control",
             absl::StrCat("{\"configuration\":", write_accepted_document(accepted), "}"))
            .IgnoreError();
    }

    owned_request request(const std::string& id, millis wait) const
    {
        owned_request result;
        result.key = {organisation_id("o"), request_id(id)};
        result.digest = digest_of(id);
        result.issued_at = time_.wall_now();
        result.wait_until = time_.steady_now() + wait;
        return result;
    }

  private:
    clock time_;
    std::unique_ptr<claim_table> claims_;
    std::unique_ptr<link_client> links_;
    exchange_settings settings_;
    std::atomic<exchange*> serving_{nullptr};
    std::unique_ptr<link_server> server_;
    std::unique_ptr<exchange> exchange_;
};

/// @brief The gateways of one test system. The first one is the seed of those added
/// later.
class gateway_group
{
  public:
    explicit gateway_group(ownership_timing timing) : timing_(timing)
    {
    }

    /// @brief Adds a gateway whose seed is the first one.
    gateway_node& add()
    {
        ++count_;
        std::vector<endpoint> seeds;
        if (!nodes.empty())
        {
            seeds.push_back(nodes.front()->self().link);
        }
        nodes.push_back(std::make_unique<gateway_node>(
            count_, absl::StrCat("h", count_), endpoint{"127.0.0.1", 0}, seeds, timing_));
        return *nodes.back();
    }

    /// @brief Replaces the process at position @p at by a new one at the same address.
    void restart(std::size_t at)
    {
        const view_member old = nodes[at]->self();
        nodes[at].reset();
        ++count_;
        const std::vector<endpoint> seeds{nodes[at == 0 ? 1 : 0]->self().link};
        nodes[at] = std::make_unique<gateway_node>(
            count_, old.host.get(), old.link, seeds, timing_);
    }

    /// @brief Makes a view of the nodes at @p positions and sends it to the first of
    /// them.
    void propose(const std::vector<std::size_t>& positions)
    {
        std::vector<view_member> members;
        for (const std::size_t at : positions)
        {
            members.push_back(nodes[at]->self());
        }
        if (record.current.epoch.get() == 0)
        {
            record.current.epoch = view_epoch(1);
            record.current.members = members;
        }
        else
        {
            record = next_record(record, members);
        }
        nodes[positions.front()]->send_control(record);
    }

    /// @brief Waits until all nodes at @p positions have a lease in the proposed view.
    void wait_for_leases(const std::vector<std::size_t>& positions)
    {
        wait_until(
            [&]
            {
                bool all = true;
                for (const std::size_t at : positions)
                {
                    const exchange_status status = nodes[at]->peers().status();
                    all = all && status.lease_valid &&
                          status.adopted == record.current.epoch;
                }
                return all;
            });
    }

    /// @brief Returns a request id whose home in the current view is the node at @p home.
    std::string id_homed_at(std::size_t home, const std::string& prefix) const
    {
        return id_in_view(record.current, nodes[home]->self().process, prefix);
    }

    static std::string
    id_in_view(const view& members, incarnation home, const std::string& prefix)
    {
        for (int number = 0;; ++number)
        {
            std::string id = absl::StrCat(prefix, number);
            const request_key key{organisation_id("o"), request_id(id)};
            if (home_of(members, hash_of(key))->process == home)
            {
                return id;
            }
        }
    }

    std::vector<std::unique_ptr<gateway_node>> nodes;
    view_record record;

  private:
    ownership_timing timing_;
    std::uint64_t count_ = 0;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_SUPPORT_GATEWAY_GROUP_HPP
