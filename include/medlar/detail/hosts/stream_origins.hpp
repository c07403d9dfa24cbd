#ifndef MEDLAR_DETAIL_HOSTS_STREAM_ORIGINS_HPP
#define MEDLAR_DETAIL_HOSTS_STREAM_ORIGINS_HPP

#include <medlar/detail/dispatch/resumable_pools.hpp>
#include <medlar/detail/dispatch/target_starts.hpp>
#include <medlar/detail/dispatch/unsaved_streams.hpp>
#include <medlar/detail/dispatch/version_evidence.hpp>
#include <medlar/detail/dispatch/version_history.hpp>
#include <medlar/detail/dispatch/version_shares.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/copy_check.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/store_controller.hpp>

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlar
{

/// @brief Name by which hosts are ranked as keepers of the origins of streams; the first
/// one also writes the shares of versions.
constexpr char keeper_group_name[] = "origins of streams";

/// @brief What told the origin of a stream.
enum class origin_source
{
    none,
    /// this host or a keeper has recorded the stream
    memory,
    /// its pools have had targets of one version only
    single_version,
    /// a record in the store
    record,
    /// the shares by which the versions of new streams are chosen
    shares
};

/// @brief The result of a search for the origin of a stream.
struct origin_result
{
    /// unset if the origin is unknown
    std::optional<stream_origin> origin;
    origin_source source = origin_source::none;
    version_evidence evidence = version_evidence::none;
    /// the number of pools and versions at which it may have begun
    std::size_t possible = 0;
    /// whether a keeper could not be asked
    bool is_keeper_missing = false;
    /// whether the records in the store were read
    bool has_read_records = false;
};

/// @brief Returns the name of a source of origins in log lines.
absl::string_view to_string(origin_source source);

/// @brief Finds the pool and version that began a stream, on any host.
///
/// Each host reports the streams that it has begun to one of a few hosts, the keepers, by
/// the hash of the stream; if that is itself, a second keeper gets a copy. It does so
/// whatever it knows of the versions: another one may appear after the host was lost and
/// before its callers come back. While all streams of a route have begun at one
/// pool and version, that is the answer, and reports are sent together and kept in memory
/// only. Once it has several, a keeper writes the streams that it has got to the store,
/// several at a time. A host asks the keepers, then the store.
///
/// That a pool has one version only has to be shown by what was read from the store after
/// the stream was taken up, by this host or by a keeper, see version_inquiry: a host that
/// was cut off or stood still knows of one version too. The same holds for the shares. If
/// the store answers no host, all other hosts are asked.
///
/// What neither knows has begun shortly before its host and keeper were lost, or while
/// the store was away. So hosts choose the version of a new stream by its id, from shares
/// that are in the store, and find it again from the shares that were in force then. An
/// origin that is uncertain stays unknown: the stream must not go on then.
class stream_origins
{
  public:
    using origin_action = std::function<void(const origin_result&)>;

    stream_origins(entry_context& context, peer_network& peers, store_controller& store);

    stream_origins(const stream_origins&) = delete;
    stream_origins& operator=(const stream_origins&) = delete;

    /// @brief Returns the version at which a stream should begin.
    /// @return unset if it may begin at any
    std::optional<software_version> version_for(const attempt_id& attempt,
                                                const pool_id& pool) const;

    /// @brief Records that the first event of a stream came from a target.
    void record(const attempt_id& attempt, const stream_origin& origin);

    /// @brief Saves where a stream is about to begin, if that is not the version that its
    /// shares give: all hosts may be lost right after its first event.
    /// @param on_saved receives whether it is in the store; else the stream must not
    /// begin there
    void save_ahead(const attempt_id& attempt,
                    const stream_origin& origin,
                    std::function<void(bool)> on_saved);

    /// @brief Returns the origin of a stream, as far as this host knows it.
    std::optional<stream_origin> find_here(const attempt_id& attempt) const;

    /// @brief Finds the origin of a stream.
    /// @param attempt the attempt that brought its first event; empty if unknown
    /// @param pools where it may have begun
    /// @param store_wait time after which it is unknown if the store does not answer
    void find(const attempt_id& attempt,
              const std::vector<pool_id>& pools,
              millis store_wait,
              origin_action on_found);

    /// @brief Returns the age of the copy of the store from which this host knows the
    /// versions.
    millis copy_age() const
    {
        return store_.copy_age();
    }

    /// @brief Returns the hosts that are told where streams begin.
    std::vector<host_id> keepers() const;

    /// @brief Handles that a target was added or has changed.
    void handle_target(const target_record& target);

    /// @brief Returns the version of the process that answers at the address of a target,
    /// as far as this host knows.
    software_version version_of(const target_state& target) const
    {
        return starts_.version_of(target);
    }

    /// @brief Returns the version of a process of a target, and makes known to the
    /// keepers that streams may begin there if no entry has named it.
    software_version version_of(const pool_id& pool, const process_start& start);

    /// @brief Returns whether a stream may go on, or has to begin, at a version.
    bool is_of(const stream_origin& origin, const software_version& version) const
    {
        return starts_.resolve(origin).version == version;
    }

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles an answer to this host's question.
    /// @return false if its type is not one of this controller's
    bool handle_answer(const host_id& from, const nlohmann::json& message);

    /// @brief Handles the end of a link that this host opened.
    void handle_peer_lost(const host_id& host, connection_end reason);

    /// @brief Handles that another host may have been lost or have started again.
    void handle_host_lost();

    /// @brief Handles an item of the store that names a version.
    void handle_item(const store_item& item);

    /// @brief Handles an item of the store with the shares of the versions of a pool.
    void handle_shares(const store_item& item);

    /// @brief Handles that an item that names a version is missing after an outage of the
    /// store.
    void handle_item_expired(const std::string& key);

    /// @brief Handles that an item with shares is missing after an outage of the store.
    void handle_shares_expired(const std::string& key);

  private:
    struct remembered_stream
    {
        stream_origin origin;
        steady_time at;
        /// whether this host is its keeper, and has not written it to the store
        bool is_unsaved = false;
    };

    /// A stream that this host has begun, or with which it goes on
    struct own_stream
    {
        remembered_stream remembered;
        /// the other host that was told of it: its keeper, or a second one if that is
        /// this host
        std::optional<host_id> keeper;
    };

    struct question
    {
        stream_key stream;
        steady_time asked_at;
        millis store_wait{0};
        std::vector<pool_id> pools;
        std::set<host_id> waiting_for;
        std::set<stream_origin> possible;
        /// processes without a known version at which it may have begun
        std::set<stream_origin> unlisted;
        version_inquiry inquiry;
        /// whether a keeper could not be asked
        bool is_keeper_missing = false;
        bool is_named = false;
        /// the keeper that has told where it began
        std::optional<host_id> told_by;
        /// whether the store has not answered a call that was made for it
        bool has_store_failed = false;
        bool has_read_records = false;
        origin_action on_found;
    };

    using recorded_origins = std::unordered_map<stream_key, stream_origin>;

    static nlohmann::json to_json(const streams_by_origin& streams);
    static streams_by_origin read_streams(const nlohmann::json& message);

    /// once a second: versions that have appeared or left, and what is too old
    void update();
    void update_versions();
    void write_versions();
    void update_earlier_shares();
    /// sets the shares of the versions of all pools that have several
    void update_shares();
    void update_shares_of(const pool_id& pool, bool is_mixed);
    void write_shares(const pool_id& pool, const share_history& history);
    bool is_writer() const;
    /// whether streams of a pool can be resumed
    bool is_resumable(const pool_id& pool);
    void remember(stream_key stream, const stream_origin& origin);
    void remember(const streams_by_origin& streams);
    void forget_old_streams();
    std::optional<stream_origin> recall(stream_key stream) const;
    /// whether a route of a pool does not tell at which pool and version its streams
    /// begin
    bool is_ambiguous(const pool_id& pool) const;
    /// whether its route does not tell where a stream began
    bool is_ambiguous(const stream_origin& origin) const;
    void record_unlisted(const streams_by_origin& streams);
    /// reports the streams of resumable routes that no keeper was told of
    void send_reports();
    void send_reports_after(millis delay);
    /// how long a stream may wait to be reported together with others
    millis report_delay_of(const stream_origin& origin) const;
    /// keeps streams in memory, and in the store if their origins are ambiguous
    /// @param on_saved called for each of them once it is in the store
    void keep(const streams_by_origin& streams,
              const std::function<void()>& on_saved = nullptr);
    /// saves the streams that are kept in memory and have become ambiguous
    void save_ambiguous();
    void save_soon();
    void save();
    void handle_save_end(const unsaved_streams::record& record, bool is_written);
    /// keeps a stream, and answers the host that waits until it is in the store
    void handle_save_request(const std::shared_ptr<message_link>& from,
                             const nlohmann::json& message);
    void end_save_ahead(std::uint64_t number, bool is_saved);
    void conclude(std::uint64_t number);
    /// passes what was found to the asking request, with what it was decided from
    void end_question(const question& asked, origin_result found);
    /// records a stream that goes on at this host as its own, so that it is reported
    /// again if its keeper is lost: the host that has begun it may be lost, too
    /// @param keeper that has told its origin; unset if another source has
    /// @param is_known_elsewhere whether the stream need not be reported now
    void adopt(stream_key stream,
               const stream_origin& origin,
               const std::optional<host_id>& keeper,
               bool is_known_elsewhere);
    /// returns the origin of a stream as far as this host and the answers tell it
    origin_result search(const question& asked) const;
    /// whether the answers that are missing can change nothing
    bool is_known(const question& asked) const
    {
        return search(asked).origin.has_value();
    }
    /// the origins that this host and the answers know of
    std::set<stream_origin> possible_origins(const question& asked) const;
    std::vector<host_id> other_hosts() const;
    void answer_question(const std::shared_ptr<message_link>& from,
                         const nlohmann::json& message);
    nlohmann::json write_answer(const nlohmann::json& message, bool is_current) const;
    void read_answer(const nlohmann::json& message, const host_id& from, question& asked);

    void find_in_store(question asked);
    void read_records();
    void read_records_after(millis delay);
    /// @param asked_at when the records were asked for
    void handle_records(const store_reading& records, steady_time asked_at);
    void handle_missing_records(steady_time asked_at);
    /// ends questions after the records were read
    /// @param is_current whether this host's copy of the store is as new as the records
    void conclude_from_records(std::vector<question> asked,
                               const recorded_origins& recorded,
                               bool is_current);
    /// the origin of a stream that no host and no record knows
    std::optional<stream_origin> origin_by_shares(const question& asked) const;
    /// asks all hosts for versions, for the questions that wait for the store
    void ask_all_hosts();
    void handle_survey_answer(steady_time surveyed_at,
                              const host_id& from,
                              const nlohmann::json& message);
    /// ends those that wait for the store, but are told by other hosts
    void end_answered_questions();
    std::string share_key(const pool_id& pool) const;
    std::optional<pool_id> read_share_key(const std::string& key) const;
    std::string item_key(const stream_origin& origin) const;
    std::optional<stream_origin> read_item_key(const std::string& key) const;

    entry_context& context_;
    peer_network& peers_;
    store_controller& store_;
    version_history versions_;
    target_starts starts_;
    resumable_pools resumable_pools_;
    std::unordered_map<stream_key, own_stream> own_streams_;
    /// streams of other hosts, as far as they fit
    std::unordered_map<stream_key, remembered_stream> streams_;
    /// those of own_streams_ that no keeper was told of
    std::vector<stream_key> unreported_;
    timer_id report_timer_{0};
    std::optional<steady_time> report_due_at_;
    /// streams that this host keeps, until they are in the store
    unsaved_streams unsaved_;
    bool is_saving_ = false;
    /// streams of this host that wait until their origin is in the store
    std::map<std::uint64_t, std::function<void(bool)>> saves_ahead_;
    std::uint64_t last_save_ahead_ = 0;
    std::map<std::uint64_t, question> questions_;
    std::uint64_t last_question_ = 0;
    std::vector<question> waiting_for_store_;
    bool is_reading_records_ = false;
    /// when all hosts were last asked, by the number of the question
    std::map<std::uint64_t, steady_time> surveys_;
    steady_time next_survey_;
    copy_check copy_check_;
    std::map<pool_id, share_history> shares_;
    /// pools whose shares the store has lost
    std::set<pool_id> lost_shares_;
    std::map<pool_id, earlier_shares> earlier_shares_;
    /// since when this host has been in contact with the store
    steady_time in_contact_since_;
    /// when streams may last have been lost with a host that had not reported them, or
    /// with their keeper
    steady_time host_lost_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_STREAM_ORIGINS_HPP
