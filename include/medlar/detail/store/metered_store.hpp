#ifndef MEDLAR_DETAIL_STORE_METERED_STORE_HPP
#define MEDLAR_DETAIL_STORE_METERED_STORE_HPP

#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <memory>

namespace medlar
{

/// @brief Returns a client that forwards to @p wrapped and counts the calls.
///
/// medlar_store_calls_total{call,result}: result is "ok" or the number of the error.
/// medlar_store_bytes_total{call}: bytes of keys and values that were read or written.
/// @param metrics must outlive the client
std::unique_ptr<store_client> make_metered(std::unique_ptr<store_client> wrapped,
                                           metrics_registry& metrics);

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_METERED_STORE_HPP
