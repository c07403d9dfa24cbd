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

/// @brief The configuration in force at this process. It only moves forward.
/// @note Safe to call from every thread; listeners are called one at a time.
class configuration_holder
{
  public:
    using listener = std::function<void(const accepted_document&)>;

    configuration_holder();

    /// @brief Takes over a document if it is newer.
    /// @param text JSON of an accepted document
    /// @return errors of parse_accepted_document()
    absl::Status offer(absl::string_view text, steady_time now);

    /// @brief A controller that sees the store, or a peer, confirms a revision.
    /// @param age how long ago the store was seen
    void confirm(revision number, millis age, steady_time now);

    /// @brief the document in force, never nullptr
    std::shared_ptr<const accepted_document> current() const;

    /// @brief its JSON text; empty at revision 0
    std::string text() const;

    revision number() const;

    /// @brief since when it was confirmed for the last time
    millis age(steady_time now) const;

    /// @brief calls @p added with each newer document, and at once with the present one
    void add_listener(listener added);

  private:
    mutable std::mutex mutex_;
    std::shared_ptr<const accepted_document> current_;
    std::string text_;
    steady_time confirmed_at_;
    // held while listeners are called, so that they see revisions in order
    std::mutex listeners_mutex_;
    std::vector<listener> listeners_;
    revision announced_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_CONFIGURATION_HOLDER_HPP
