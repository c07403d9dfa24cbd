#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/log/operator_events.hpp>
#include <medlar/detail/operators/live_configuration.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

const std::string configuration_key = "medlar/live/configuration";

} // namespace

live_configuration::live_configuration(store_client& store) : store_(store)
{
}

absl::StatusOr<live_document> live_configuration::read(revision above)
{
    const auto entry = store_.get(configuration_key);
    if (!entry.ok())
    {
        return entry.status();
    }
    live_document live;
    if (entry->has_value())
    {
        absl::StatusOr<accepted_document> accepted =
            parse_accepted_document((*entry)->value);
        if (!accepted.ok())
        {
            return make_error(absl::StatusCode::kInternal,
                              error_number::store_malformed,
                              absl::StrCat(configuration_key,
                                           " holds no accepted document: ",
                                           accepted.status().message()));
        }
        live = live_document{*std::move(accepted), (*entry)->modified};
    }
    const absl::Status not_outdated = check_not_outdated(live.accepted.number, above);
    if (!not_outdated.ok())
    {
        return not_outdated;
    }
    return live;
}

absl::StatusOr<bool> live_configuration::write(const live_document& before,
                                               const accepted_document& next)
{
    return store_.compare_and_swap(
        configuration_key, write_accepted_document(next), before.index);
}

absl::StatusOr<accepted_document> live_configuration::find(const live_document& live,
                                                           const audit_log& audit,
                                                           revision number) const
{
    if (number > revision(0) && number == live.accepted.number)
    {
        return live.accepted;
    }
    auto kept = audit.find_content(number);
    if (!kept.ok())
    {
        return kept.status();
    }
    if (!kept->has_value())
    {
        return make_error(absl::StatusCode::kNotFound,
                          error_number::no_such_revision,
                          absl::StrCat("revision ", number.get(), " is not kept"));
    }
    return **std::move(kept);
}

void live_configuration::record_seen_revision(revision number)
{
    std::uint64_t before = newest_seen_.load();
    while (before < number.get() &&
           !newest_seen_.compare_exchange_weak(before, number.get()))
    {
    }
}

absl::Status live_configuration::check_not_outdated(revision found, revision above)
{
    const std::uint64_t newest_seen = newest_seen_.load();
    if (found.get() >= newest_seen || above.get() >= newest_seen)
    {
        record_seen_revision(found);
        return absl::OkStatus();
    }
    log_event(store_outdated,
              {{"store_revision", found.get()}, {"accepted_revision", newest_seen}});
    return make_error(absl::StatusCode::kFailedPrecondition,
                      error_number::store_outdated,
                      absl::StrCat("the store holds revision ",
                                   found.get(),
                                   ", but revision ",
                                   newest_seen,
                                   " was accepted; apply a document above it"));
}

} // namespace medlar
