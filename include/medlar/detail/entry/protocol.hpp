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

/// @brief The id that a caller assigned to one attempt of a request.
using attempt_id = strong_type<struct attempt_id_tag, std::string>;

/// @brief Identifies one stage result and the target that holds it.
using result_handle = strong_type<struct result_handle_tag, std::string>;

/// @brief The version of the software of a target, as it states it.
using software_version = strong_type<struct software_version_tag, std::string>;

/// @brief One part of a prompt; several requests may contain the same part.
struct prompt_part
{
    std::string id;
    token_count tokens{0};
};

/// @brief The fields read from the head of a caller's request.
struct request_fields
{
    attempt_id attempt;
    /// how long the caller waits for the answer; unset if the request does not state it
    std::optional<millis> deadline;
    std::string access_key;
    /// id of the last event that the caller received of a stream that it resumes
    std::string resume_after;
    /// the attempt that brought the first event of that stream; empty if the caller does
    /// not name it
    attempt_id resumed_attempt;
    token_count prompt_tokens{0};
    token_count output_tokens{0};
    std::vector<prompt_part> prompt;
    /// number of pieces of each stage; 0 skips the stage
    std::vector<int> pieces;
    /// input of the stages that depend on no other stage
    std::string piece_key;
};

/// @brief Fields that are added to a request when it is forwarded to a target.
struct call_additions
{
    /// time until the deadline
    millis remaining{0};
    /// the target that has to receive the request; any other must not run it
    target_id expected_target;
    std::optional<organisation_id> organisation;
    /// stage results that the request needs
    std::vector<result_handle> inputs;
    bool has_inputs = false;
    /// id of the last forwarded event, if a stream is resumed at another target
    std::string resume_after;
};

/// @brief The fields read from the head of a target's answer.
struct answer_fields
{
    std::string attempt;
    bool has_signature = false;
    /// the target states that it did not run the request
    bool not_run = false;
    bool is_encoded = false;
    /// not the called target answers, but another one at its address
    bool is_of_other_target = false;
    /// the target is going to stop
    bool is_leaving = false;
    /// how long the target wants no more calls from this host; unset if it does not say
    std::optional<millis> pause;
    /// requests per second that the target takes from all hosts; unset if it has no limit
    std::optional<double> rate_limit;
    /// refusals per second, of all hosts together, above which the target breaks down;
    /// unset if it does not say
    std::optional<double> refusal_limit;
    /// the target states a limit that cannot be read
    bool is_rate_limit_malformed = false;
    /// how much longer the target is cold; unset if it does not say
    std::optional<millis> cold;
    /// the target states a cold time that cannot be read
    bool is_cold_malformed = false;
};

/// @brief One piece of a stage, as sent to the target that executes it.
struct piece_item
{
    attempt_id attempt;
    std::size_t stage = 0;
    int piece = 0;
    /// time until the deadline
    millis remaining{0};
    /// set for stages that depend on no other stage
    std::string key;
    /// results of earlier stages that the piece needs
    std::vector<result_handle> inputs;
};

/// @brief Why a piece produced no result.
enum class piece_failure
{
    late,             ///< its deadline had passed
    input_gone,       ///< a result that it needs no longer exists
    no_result_memory, ///< the target had no memory for the result
    failed,
};

/// @brief The outcome of one piece: a handle, or the reason why there is none.
struct piece_result
{
    std::optional<result_handle> handle;
    piece_failure failure = piece_failure::failed;
};

/// @brief The entry of a target in the store.
struct target_record
{
    target_id id;
    pool_id pool;
    endpoint address;
    failure_domain_id domain;
    bool is_draining = false;
    int slots = 1;
    /// start time; changes when the target restarts under the same id
    std::int64_t started_ms = 0;
    software_version version;
    /// how much longer it is cold, as of the writing of the entry; unset if the entry
    /// does not say
    std::optional<millis> cold;
    /// name of a field that was ignored or cut since its value is not a sensible one
    std::string unusable_field;
};

/// @brief A state of the store.
///
/// The store may return from an old copy. It then gives out revisions again that it gave
/// out before, and counts one era more; so revisions compare only within an era.
struct store_version
{
    std::int64_t era = 0;
    std::int64_t revision = 0;

    friend bool operator==(const store_version& a, const store_version& b)
    {
        return a.era == b.era && a.revision == b.revision;
    }

    friend bool operator<(const store_version& a, const store_version& b)
    {
        return a.era != b.era ? a.era < b.era : a.revision < b.revision;
    }

    friend bool operator<=(const store_version& a, const store_version& b)
    {
        return !(b < a);
    }
};

/// @brief The age of an item's content as its writer counts it; unlike a revision, it
/// stays comparable when the store returns from an old copy.
struct content_version
{
    /// the version of a configuration, or the start time of a target
    std::int64_t generation = 0;
    /// counts the writes of one target since its start
    std::int64_t sequence = 0;

    friend bool operator<(const content_version& a, const content_version& b)
    {
        return a.generation != b.generation ? a.generation < b.generation
                                            : a.sequence < b.sequence;
    }
};

/// @brief One item of the platform's key-value store.
struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool is_deleted = false;
};

/// @brief Items or change events of the store, as of one version.
struct store_page
{
    std::vector<store_item> items;
    std::int64_t revision = 0;
    /// era of the answer that the items are from
    std::int64_t era = 0;
    bool has_more = false;
};

/// @brief How current the items of a reading have to be.
enum class read_mode
{
    linearizable, ///< all changes acknowledged before the call
    stale,        ///< may be seconds old; cheaper, and without a limit on its rate
};

/// @brief The id of a lease in the store.
using store_lease = strong_type<struct store_lease_tag, std::int64_t>;

/// @brief Translates between the system and the platform that it runs on: header names,
/// message formats and calls. Implementations only translate and make no decisions.
class entry_protocol
{
  public:
    virtual ~entry_protocol() = default;

    // callers and targets
    virtual request_fields read_request(const request_head& head) const = 0;
    /// @brief Returns the head of the HTTP request that forwards a caller's request to a
    /// target, without what only hosts say, see is_host_header().
    /// @param body_bytes size of the body that follows the head
    virtual std::string write_call(const request_head& head,
                                   std::size_t body_bytes,
                                   const endpoint& where,
                                   const call_additions& additions) const = 0;
    /// @brief Returns the head of the HTTP request that has another entry host handle a
    /// caller's request, which stays as it is but for its deadline and what only hosts
    /// say.
    /// @param body_bytes size of the body that follows the head
    /// @param remaining time until the deadline
    /// @param additions headers that are added
    virtual std::string write_forward(const request_head& head,
                                      std::size_t body_bytes,
                                      millis remaining,
                                      const header_list& additions) const = 0;
    virtual answer_fields read_answer(const answer_head& head) const = 0;
    /// @brief Returns the HTTP request that asks a target when it has started.
    /// @param expected target that is to answer; empty if any may
    virtual std::string write_start_question(const endpoint& where,
                                             const target_id& expected) const = 0;
    /// @brief Reads the answer to a start question.
    /// @return Unix time in ms; unset if the answer does not state it
    virtual std::optional<std::int64_t>
    read_start_answer(absl::string_view body) const = 0;
    /// @brief Returns whether the body of an answer to a start question is not a part of
    /// one.
    virtual bool is_whole_start_answer(absl::string_view body) const = 0;
    virtual std::string readiness_path() const = 0;
    /// @brief Returns the header that tells a caller when to retry.
    virtual header_field retry_after(millis delay) const = 0;
    /// @brief Adds the attempt's id to the headers of a local reply; an empty id adds
    /// none.
    virtual void add_attempt(header_list& headers, const attempt_id& attempt) const = 0;

    // stages
    /// @brief Returns the HTTP request that executes @p items at a target in one batch.
    virtual std::string write_piece_call(const endpoint& where,
                                         const target_id& expected,
                                         const std::vector<piece_item>& items) const = 0;
    virtual absl::StatusOr<std::vector<piece_result>>
    read_piece_answer(absl::string_view body) const = 0;
    /// @brief Returns the HTTP request that frees results at the target that holds them.
    virtual std::string
    write_free_call(const endpoint& where,
                    const std::vector<result_handle>& handles) const = 0;
    /// @brief Returns the address of the target that holds a result.
    virtual absl::StatusOr<endpoint> holder_of(const result_handle& handle) const = 0;

    // the store
    /// @brief Returns the era that an answer of the store states.
    /// @return unset if it states none, or one that is not a whole number
    virtual std::optional<std::int64_t> read_era(const answer_head& head) const = 0;
    /// @brief Returns the age of an item's content; unset for items that have none.
    virtual std::optional<content_version>
    read_content_version(const store_item& item) const = 0;
    virtual std::string configuration_key() const = 0;
    virtual std::string target_prefix() const = 0;
    /// @brief Returns the prefix of the items that name evacuated failure domains.
    virtual std::string evacuation_prefix() const = 0;
    virtual std::string host_prefix() const = 0;
    /// @brief Returns the prefix of the items that name what targets crash under.
    virtual std::string blocked_suspect_prefix() const = 0;
    /// @brief Returns the prefix of the items that name the versions of targets.
    virtual std::string version_prefix() const = 0;
    /// @brief Returns the prefix of the items with the shares of versions.
    virtual std::string share_prefix() const = 0;
    /// @brief Returns the prefix of the items that tell where streams have begun.
    virtual std::string stream_record_prefix() const = 0;
    /// @brief Returns the HTTP request for the items below @p prefix after @p after_key.
    virtual std::string write_range_call(absl::string_view prefix,
                                         absl::string_view after_key,
                                         read_mode mode) const = 0;
    /// @brief Returns the HTTP request for the changes after revision @p after; the store
    /// holds it for up to @p wait if there are none.
    virtual std::string write_watch_call(std::int64_t after, millis wait) const = 0;
    virtual std::string write_lease_call(millis life) const = 0;
    virtual std::string write_renew_call(store_lease lease) const = 0;
    virtual std::string write_end_lease_call(store_lease lease) const = 0;
    virtual std::string write_put_call(absl::string_view key,
                                       absl::string_view value,
                                       store_lease lease) const = 0;
    virtual std::string write_remove_call(absl::string_view key) const = 0;
    virtual absl::StatusOr<store_page> read_page(absl::string_view body) const = 0;
    virtual absl::StatusOr<store_page> read_events(absl::string_view body) const = 0;
    virtual absl::StatusOr<store_lease> read_lease(absl::string_view body) const = 0;
    /// @brief Returns the revision of a change that the store has made.
    virtual absl::StatusOr<std::int64_t> read_change(absl::string_view body) const = 0;
    virtual absl::StatusOr<serving_configuration>
    read_configuration(absl::string_view value) const = 0;
    virtual absl::StatusOr<target_record> read_target(const target_id& id,
                                                      absl::string_view value) const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PROTOCOL_HPP
