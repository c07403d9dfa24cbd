#ifndef MEDLAR_DETAIL_GATEWAY_LOCAL_EXCHANGE_HPP
#define MEDLAR_DETAIL_GATEWAY_LOCAL_EXCHANGE_HPP

#include <medlar/detail/membership/exchange.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief The exchange of a single gateway without peers: it is the home of every
/// request, and the configuration is fixed.
/// @note For trials and tests. Runs are at most once only as long as there is no second
///     gateway and the process is not restarted.
class local_exchange : public exchange
{
  public:
    static std::unique_ptr<local_exchange> create(const view_member& self,
                                                  const accepted_document& configuration,
                                                  claim_table& claims);

    placement place(const owned_request& request) override;
    void finish(const request_key& key, const final_answer& answer) override;
    void withdraw(const request_key& key, const outcome& refusal) override;
    std::optional<final_answer> wait_for_answer(const request_key& key,
                                                steady_time until) override;

    std::shared_ptr<const accepted_document> configuration() const override;
    void
    on_configuration(std::function<void(const accepted_document&)> listener) override;
    void on_leaving(std::function<void(const std::vector<target_id>&)> listener) override;
    void report_leaving_target(const target_id& target) override;

    std::optional<int> handle(const link_request& request,
                              link_responder& responder) override;
    std::vector<view_member> peers() const override;
    exchange_status status() const override;
    bool leave(steady_time until) override;
    void stop() override;

  private:
    /// @brief The refusal that waits for requests that joined a withdrawn run.
    struct withdrawal
    {
        request_key key;
        outcome refusal;
    };

    local_exchange(const view_member& self,
                   const accepted_document& configuration,
                   claim_table& claims);

    std::optional<final_answer> answer_of(const request_key& key) const;

    view_member self_;
    std::shared_ptr<const accepted_document> configuration_;
    claim_table& claims_;
    clock time_ = clock::system();
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<withdrawal> withdrawn_;
    std::vector<target_id> leaving_;
    std::vector<std::function<void(const std::vector<target_id>&)>> listeners_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_LOCAL_EXCHANGE_HPP
