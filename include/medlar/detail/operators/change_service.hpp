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

/// @brief who asks for a change, and on which conditions
struct change_request
{
    /// chosen by the operator; the same id takes effect once
    std::string change_id;
    std::string author;
    /// set: refuse unless this is the accepted revision
    std::optional<revision> expected;
    /// for a store that has lost accepted changes: the new revision is above this one
    revision above;
};

/// @brief what became of a change
enum class change_state
{
    accepted,
    not_accepted, ///< it has not taken effect and never will
    unknown,      ///< it may have taken effect, or may still do so
};

/// @brief the outcome of a change
struct change_result
{
    change_state state = change_state::unknown;
    std::string change_id;
    /// accepted: its revision
    revision number;
    /// the revision that it replaced, or was to replace
    revision based_on;
    /// an earlier call had it accepted
    bool accepted_earlier = false;
    std::vector<difference> differences;
};

/// @brief Checks the names that identify a change.
/// @return error 504 that names the field
absl::Status check_change_names(const std::string& change_id, const std::string& author);

/// @brief Changes the configuration document in the store by compare-and-swap.
///
/// A change is accepted when its compare-and-swap took effect. The accepted document
/// carries its own change; whoever changes it next makes sure first that the change is
/// in the audit records, so a stop between the two writes loses nothing.
/// @note Safe to call from every thread.
class change_service
{
  public:
    /// @param audit_entries how many accepted changes are kept
    static std::unique_ptr<change_service>
    create(store_client& store, const clock& time, std::uint64_t audit_entries);

    /// @brief Makes a change.
    /// @return errors 501 to 509 (the content is invalid), 601 (another change came
    ///     first), 603, 604, 605, 701, 703 (nothing was changed), 705 (the store has
    ///     lost accepted changes); a lost reply that cannot be settled is a result
    absl::StatusOr<change_result> change(const change_request& request,
                                         const document_edit& edit);

    /// @brief Reads an accepted document.
    /// @param number 0: the newest
    /// @return error 603 if it is not kept
    absl::StatusOr<accepted_document> get(revision number);

    /// @brief Lists accepted changes, newest first.
    absl::StatusOr<std::vector<audit_record>> history();

    /// @brief Settles what became of a change.
    /// @param based_on the revision that the change was to replace, if known
    /// @return error 602 if there is no trace of it and its base is not known
    absl::StatusOr<change_result> status(const std::string& change_id,
                                         std::optional<revision> based_on);

    /// @brief Notes a revision that was accepted, as another process has seen it.
    void saw(revision number);

    /// @brief the records of all audited changes
    audit_log& audit();

  private:
    /// a change on its way through several tries
    struct attempt
    {
        /// revision of the first try's base
        std::optional<revision> first_base;
        /// base of a try whose reply was lost, while it may still take effect
        std::optional<revision> pending_base;
    };

    change_service(store_client& store, const clock& time, std::uint64_t audit_entries);

    absl::StatusOr<std::optional<change_result>>
    find_accepted(const live_document& live, const std::string& change_id);
    absl::StatusOr<std::optional<change_result>> find_same(const live_document& live,
                                                           const change_request& request,
                                                           const document_edit& edit);
    absl::StatusOr<document> edited(const live_document& live, const document_edit& edit);
    absl::StatusOr<accepted_document> next_of(const live_document& live,
                                              const change_request& request,
                                              const document_edit& edit);
    absl::Status check_base(const live_document& live,
                            const change_request& request,
                            const document_edit& edit,
                            const attempt& so_far);
    absl::Status conflict_with(const live_document& live, revision looked_at);
    absl::StatusOr<std::optional<change_result>>
    try_once(const change_request& request, const document_edit& edit, attempt& so_far);
    change_result accept(const accepted_document& before, const accepted_document& next);

    const clock& time_;
    live_configuration live_;
    std::unique_ptr<audit_log> audit_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CHANGE_SERVICE_HPP
