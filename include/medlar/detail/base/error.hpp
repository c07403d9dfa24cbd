#ifndef MEDLAR_DETAIL_BASE_ERROR_HPP
#define MEDLAR_DETAIL_BASE_ERROR_HPP

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <string>

namespace medlar
{

/// @brief Error numbers of operators' calls and of internal components; listed in
/// docs/ERRORS.md.
enum class error_number : int
{
    // configuration documents
    not_json = 501,
    missing_field = 502,
    wrong_type = 503,
    out_of_range = 504,
    unknown_stage = 505,
    stage_cycle = 506,
    unknown_reference = 507,
    duplicate_name = 508,
    document_too_large = 509,
    unknown_field = 510,

    // changes by operators
    conflict = 601,
    change_unknown = 602,
    no_such_revision = 603,
    no_such_object = 604,
    change_id_reused = 605,
    view_not_settled = 606,
    not_confirmed = 607,

    // key-value store of the platform
    store_unreachable = 701,
    store_reply_lost = 702,
    store_refused = 703,
    store_malformed = 704,
    store_outdated = 705,

    // links between hosts
    link_unreachable = 801,
    link_broken = 802,
    link_timeout = 803,
    link_malformed = 804,

    // settings
    bad_setting = 901,
};

/// @brief Returns a status whose message starts with the error number.
/// @param code the canonical status code
/// @param number the number in docs/ERRORS.md
/// @param message one sentence that names the field or the setting
/// @return a status with the message "[medlar.NUMBER] MESSAGE"
absl::Status
make_error(absl::StatusCode code, error_number number, absl::string_view message);

/// @brief Returns the number of an error created by make_error(), or 0 if the status
/// has none.
int error_number_of(const absl::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_ERROR_HPP
