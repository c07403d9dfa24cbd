#ifndef MEDLAR_DETAIL_MEMBERSHIP_CONFIGURATION_HOLDER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_CONFIGURATION_HOLDER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/document.hpp>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlar
{

/// @brief The configuration in force at this process. Its revision only increases.
/// @note Safe to call from every thread; listeners are called one at a time.
class configuration_holder
{
  public:
    using listener = std::function<void(const accepted_document&)>;

    configuration_holder();

    /// @brief Puts a document in force if it is newer.
    /// @param text JSON of an accepted document
    /// @return errors of parse_accepted_document()
    absl::Status offer(absl::string_view text, steady_time now);

    /// @brief Records that a controller with access to the store, or a peer, confirmed a
    /// revision.
    /// @param age time since the store was read
    void confirm(revision number, millis age, steady_time now);

    /// @brief the document in force, never nullptr
    std::shared_ptr<const accepted_document> current() const;

    /// @brief JSON text of the document in force; empty at revision 0
    std::string text() const;

    revision number() const;

    /// @brief time since the revision in force was last confirmed
    millis age(steady_time now) const;

    /// @brief Calls @p added at once with the current document, then with each newer one.
    void add_listener(listener added);

  private:
    mutable std::mutex mutex_;
    std::shared_ptr<const accepted_document> current_;
    std::string text_;
    steady_time confirmed_at_;
    // held while listeners are called, so that they receive revisions in order
    std::mutex listeners_mutex_;
    std::vector<listener> listeners_;
    revision announced_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_CONFIGURATION_HOLDER_HPP
