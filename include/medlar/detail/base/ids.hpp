#ifndef MEDLAR_DETAIL_BASE_IDS_HPP
#define MEDLAR_DETAIL_BASE_IDS_HPP

#include <medlar/detail/base/strong_type.hpp>

#include <cstdint>
#include <string>

namespace medlar
{

// names assigned by operators
using host_id = strong_type<struct host_id_tag, std::string>;
using failure_domain_id = strong_type<struct failure_domain_id_tag, std::string>;
using organisation_id = strong_type<struct organisation_id_tag, std::string>;
using pipeline_id = strong_type<struct pipeline_id_tag, std::string>;
using pool_id = strong_type<struct pool_id_tag, std::string>;
using target_id = strong_type<struct target_id_tag, std::string>;
using model_id = strong_type<struct model_id_tag, std::string>;

// names assigned by callers, unique within an organisation
using request_id = strong_type<struct request_id_tag, std::string>;

// monotonically increasing numbers
using revision = strong_type<struct revision_tag, std::uint64_t>;
using view_epoch = strong_type<struct view_epoch_tag, std::uint64_t>;
using fencing_number = strong_type<struct fencing_number_tag, std::uint64_t>;

/// @brief random identifier of one run of a gateway process, generated at its start
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

// units of work and size
using token_count = strong_type<struct token_count_tag, std::int64_t>;
using byte_count = strong_type<struct byte_count_tag, std::int64_t>;

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_IDS_HPP
