#ifndef MEDLAR_DETAIL_ENTRY_PROTOCOL_HPP
#define MEDLAR_DETAIL_ENTRY_PROTOCOL_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/http/head.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief the id that a caller gave to one attempt of a request
using attempt_id = strong_type<struct attempt_id_tag, std::string>;

/// @brief names one result of a stage at the target that made it
using result_handle = strong_type<struct result_handle_tag, std::string>;

/// @brief one part of a prompt; requests share parts
struct prompt_part
{
    std::string id;
    token_count tokens{0};
};

/// @brief what the head of a caller's request says
struct request_fields
{
    attempt_id attempt;
    /// how long the caller will wait; unset if it does not say
    std::optional<millis> deadline;
    std::string access_key;
    /// the last event that the caller has of a stream that it resumes
    std::string resume_after;
    token_count prompt_tokens{0};
    token_count output_tokens{0};
    std::vector<prompt_part> prompt;
    /// pieces of each stage; 0: the stage is left out
    std::vector<int> pieces;
    std::string piece_key;
};

/// @brief what the system adds to a request that it sends to a target
struct call_additions
{
    millis left{0};
    target_id expected;
    std::optional<organisation_id> organisation;
    /// results of the stages that the target needs
    std::vector<result_handle> inputs;
    bool has_inputs = false;
    /// set where the system resumes a stream
    std::string resume_after;
};

/// @brief what the head of a target's answer says
struct answer_fields
{
    std::string attempt;
    bool has_signature = false;
    /// the target states that it did not run the request
    bool not_run = false;
    bool is_encoded = false;
};

/// @brief one piece of a stage that is to be made
struct piece_item
{
    attempt_id attempt;
    std::size_t stage = 0;
    int piece = 0;
    millis left{0};
    /// set for stages that need no results
    std::string key;
    /// results that the piece is made from
    std::vector<result_handle> inputs;
};

/// @brief why a piece was not made
enum class piece_failure
{
    late,       ///< its time was over
    input_gone, ///< a result that it needs does not exist any more
    no_room,
    failed,
};

/// @brief what became of one piece
struct piece_result
{
    std::optional<result_handle> handle;
    piece_failure failure = piece_failure::failed;
};

/// @brief what a target says of itself
struct target_record
{
    target_id id;
    pool_id pool;
    endpoint where;
    failure_domain_id domain;
    bool is_draining = false;
    int slots = 1;
    /// changes when the target starts again under the same id
    std::int64_t started_ms = 0;
};

/// @brief one item of the platform's store
struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool is_deleted = false;
};

/// @brief items of the store and the revision that they are as of
struct store_page
{
    std::vector<store_item> items;
    std::int64_t revision = 0;
    bool has_more = false;
};

/// @brief a lease of the store
using store_lease = strong_type<struct store_lease_tag, std::int64_t>;

/// @brief The names, formats and calls of the platform that the system runs on. It
/// translates and decides nothing.
class entry_protocol
{
  public:
    virtual ~entry_protocol() = default;

    // callers and targets
    virtual request_fields read_request(const request_head& head) const = 0;
    virtual std::string write_call(const request_head& head,
                                   absl::string_view body,
                                   const endpoint& where,
                                   const call_additions& additions) const = 0;
    virtual answer_fields read_answer(const answer_head& head) const = 0;
    virtual std::string readiness_path() const = 0;
    /// @brief the header that tells a caller when to come back
    virtual header_field retry_after(millis delay) const = 0;
    /// @brief Adds the attempt's id to the headers of an answer of the system itself.
    virtual void add_attempt(header_list& headers, const attempt_id& attempt) const = 0;

    // stages
    virtual std::string write_piece_call(const endpoint& where,
                                         const target_id& expected,
                                         const std::vector<piece_item>& items) const = 0;
    virtual absl::StatusOr<std::vector<piece_result>>
    read_piece_answer(absl::string_view body) const = 0;
    virtual std::string
    write_free_call(const endpoint& where,
                    const std::vector<result_handle>& handles) const = 0;
    /// @brief the address of the target that holds a result
    virtual absl::StatusOr<endpoint> holder_of(const result_handle& handle) const = 0;

    // the store
    virtual std::string configuration_key() const = 0;
    virtual std::string target_prefix() const = 0;
    virtual std::string host_prefix() const = 0;
    virtual std::string write_range_call(absl::string_view prefix,
                                         absl::string_view after_key) const = 0;
    virtual std::string write_watch_call(std::int64_t after, millis wait) const = 0;
    virtual std::string write_lease_call(millis life) const = 0;
    virtual std::string write_renew_call(store_lease lease) const = 0;
    virtual std::string write_end_lease_call(store_lease lease) const = 0;
    virtual std::string write_put_call(absl::string_view key,
                                       absl::string_view value,
                                       store_lease lease) const = 0;
    virtual absl::StatusOr<store_page> read_page(absl::string_view body) const = 0;
    virtual absl::StatusOr<store_page> read_events(absl::string_view body) const = 0;
    virtual absl::StatusOr<store_lease> read_lease(absl::string_view body) const = 0;
    virtual absl::StatusOr<serving_configuration>
    read_configuration(absl::string_view value) const = 0;
    virtual absl::StatusOr<target_record> read_target(const target_id& id,
                                                      absl::string_view value) const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PROTOCOL_HPP
