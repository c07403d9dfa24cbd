#ifndef MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP
#define MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP

#include <medlar/detail/config/audit_record.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Bounded records of accepted changes in the store.
///
/// A record lies in the slot of its number modulo the bound, so that new ones replace
/// the oldest; an older record never replaces a newer one. The contents of accepted
/// documents lie beside in slots of their own and are read one at a time.
/// @note Safe to call from every thread. Errors are those of store_client.
class audit_log
{
  public:
    /// @param entries how many changes of each kind are kept
    static std::unique_ptr<audit_log> create(store_client& store, std::uint64_t entries);

    /// @brief Records an accepted configuration unless that is done already.
    absl::Status ensure(const accepted_document& accepted);

    /// @brief Records a change of another kind.
    /// @param scope what has its own numbers: the pool of an order, or empty
    absl::Status add(const audit_record& record, const std::string& scope);

    /// @brief Records what is about to be tried, in place of an earlier intent of the
    /// same number.
    absl::Status add_intent(const audit_record& record, const std::string& scope);

    /// @brief all records that are kept, newest first
    absl::StatusOr<std::vector<audit_record>> list() const;

    /// @brief The accepted document of a revision.
    /// @return unset if it is not kept any more
    absl::StatusOr<std::optional<accepted_document>> find_content(revision number) const;

  private:
    audit_log(store_client& store, std::uint64_t entries);

    std::string
    slot_of(audit_kind kind, const std::string& scope, std::uint64_t number) const;
    std::string content_slot_of(revision number) const;
    absl::StatusOr<bool> has_record(const accepted_document& accepted) const;
    /// @param replaceable highest number of a value that is replaced
    absl::Status put(const std::string& key,
                     const std::string& value,
                     std::uint64_t replaceable,
                     std::uint64_t (*number_of)(const std::string&));

    store_client& store_;
    std::uint64_t entries_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP
