#ifndef MEDLAR_DETAIL_OPERATORS_CHANGE_SERVICE_HPP
#define MEDLAR_DETAIL_OPERATORS_CHANGE_SERVICE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/document_edit.hpp>
#include <medlar/detail/operators/audit_log.hpp>
#include <medlar/detail/operators/conflict.hpp>
#include <medlar/detail/operators/live_configuration.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief identity of a change and the conditions under which it is accepted
struct change_request
{
    /// chosen by the operator; a change id takes effect at most once
    std::string change_id;
    std::string author;
    /// if set, the change is refused unless this is the accepted revision
    std::optional<revision> expected;
    /// lower bound, exclusive, of the new revision; used after the store has lost
    /// accepted changes
    revision above;
};

/// @brief outcome of a change
enum class change_state
{
    accepted,
    not_accepted, ///< has not taken effect and never will
    unknown,      ///< may have taken effect, or may still do so
};

/// @brief outcome of a change with its revisions and differences
struct change_result
{
    change_state state = change_state::unknown;
    std::string change_id;
    /// the new revision; set only if the change was accepted
    revision number;
    /// the revision that the change replaced, or was meant to replace
    revision based_on;
    /// whether an earlier call with the same change id was accepted
    bool accepted_earlier = false;
    std::vector<difference> differences;
};

/// @brief Validates the change id and the author of a change.
/// @return error 504, whose message names the field
absl::Status check_change_names(const std::string& change_id, const std::string& author);

/// @brief Changes the configuration document in the store by compare-and-swap.
///
/// A change is accepted once its compare-and-swap has taken effect. The accepted document
/// contains the metadata of its own change, and every later change first ensures that
/// this metadata is in the audit log. A crash between the two writes thus loses no
/// record.
/// @note Thread-safe.
class change_service
{
  public:
    /// @param audit_entries maximum number of audit records for each kind of change
    static std::unique_ptr<change_service>
    create(store_client& store, const clock& time, std::uint64_t audit_entries);

    /// @brief Applies an edit to the accepted document.
    /// @return errors 501 to 509 (the content is invalid), 601 (another change was
    ///     accepted first), 603, 604, 605, 701, 703 (nothing was changed), 705 (the store
    ///     has lost accepted changes); if the reply of the store was lost and the outcome
    ///     cannot be determined, a result with the state unknown
    absl::StatusOr<change_result> change(const change_request& request,
                                         const document_edit& edit);

    /// @brief Returns an accepted document.
    /// @param number revision, or 0 for the newest
    /// @return error 603 if the revision is not kept
    absl::StatusOr<accepted_document> get(revision number);

    /// @brief Returns the audit records of accepted changes, newest first.
    absl::StatusOr<std::vector<audit_record>> history();

    /// @brief Determines the outcome of a change.
    /// @param based_on the revision that the change was meant to replace, if known
    /// @return error 602 if the change is not recorded and @p based_on is unset
    absl::StatusOr<change_result> status(const std::string& change_id,
                                         std::optional<revision> based_on);

    /// @brief Records an accepted revision that another process has reported.
    void record_seen_revision(revision number);

    /// @brief the audit log of all kinds of changes
    audit_log& audit();

  private:
    /// state of a change across several attempts
    struct change_progress
    {
        /// base revision of the first attempt
        std::optional<revision> first_base;
        /// base of an attempt whose reply was lost, as long as it may still take effect
        std::optional<revision> pending_base;
    };

    change_service(store_client& store, const clock& time, std::uint64_t audit_entries);

    absl::StatusOr<std::optional<change_result>>
    find_accepted(const live_document& live, const std::string& change_id);
    absl::StatusOr<std::optional<change_result>>
    find_duplicate(const live_document& live,
                   const change_request& request,
                   const document_edit& edit);
    absl::StatusOr<document> apply_edit(const live_document& live,
                                        const document_edit& edit);
    absl::StatusOr<accepted_document> make_next(const live_document& live,
                                                const change_request& request,
                                                const document_edit& edit);
    absl::Status check_base(const live_document& live,
                            const change_request& request,
                            const document_edit& edit,
                            const change_progress& progress);
    absl::Status make_conflict_status(const live_document& live, revision expected_base);
    absl::StatusOr<std::optional<change_result>> try_once(const change_request& request,
                                                          const document_edit& edit,
                                                          change_progress& progress);
    change_result record_accepted(const accepted_document& before,
                                  const accepted_document& next);

    const clock& time_;
    live_configuration live_;
    std::unique_ptr<audit_log> audit_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CHANGE_SERVICE_HPP
