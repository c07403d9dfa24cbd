#include <medlar/detail/base/error.hpp>
#include <medlar/detail/log/operator_events.hpp>
#include <medlar/detail/operators/order_service.hpp>
#include <medlar/detail/operators/settled_write.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

std::string orders_key(const pool_id& pool)
{
    return absl::StrCat("medlar/orders/", pool.get());
}

std::string summary_of(const pool_id& pool, const std::vector<model_order>& wanted)
{
    std::string summary = absl::StrCat("order of pool ", pool.get(), ":");
    for (const model_order& each : wanted)
    {
        absl::StrAppend(&summary, " ", each.action, " ", each.model, "@", each.version);
    }
    return summary;
}

absl::Status reused_error(const std::string& change_id)
{
    return make_error(
        absl::StatusCode::kAlreadyExists,
        error_number::change_id_reused,
        absl::StrCat("change '", change_id, "' was accepted with other content"));
}

absl::Status conflict_error(const pool_id& pool, const pool_orders& newest)
{
    return make_error(absl::StatusCode::kAborted,
                      error_number::conflict,
                      absl::StrCat(summary_of(pool, newest.wanted),
                                   " by ",
                                   newest.author,
                                   " (change ",
                                   newest.change_id,
                                   ") came first"));
}

order_result earlier_result(revision number)
{
    order_result result;
    result.state = change_state::accepted;
    result.number = number;
    result.accepted_earlier = true;
    return result;
}

} // namespace

std::unique_ptr<order_service>
order_service::create(store_client& store, const clock& time, change_service& changes)
{
    return std::unique_ptr<order_service>(new order_service(store, time, changes));
}

order_service::order_service(store_client& store,
                             const clock& time,
                             change_service& changes)
    : store_(store), time_(time), changes_(changes)
{
}

absl::StatusOr<order_result> order_service::order(const order_request& request)
{
    const absl::Status checked = validate_request(request);
    if (!checked.ok())
    {
        return checked;
    }
    order_progress progress;
    const auto settled = retry_until_settled<order_result>(
        [&]
        {
            return try_once(request, progress);
        },
        [&progress]
        {
            return progress.pending_base.has_value();
        });
    if (!settled.ok())
    {
        return settled.status();
    }
    if (!settled->has_value())
    {
        log_event(change_unsettled,
                  {{"change_id", request.change_id}, {"author", request.author}});
        return order_result{};
    }
    return **settled;
}

absl::Status order_service::validate_request(const order_request& request)
{
    const absl::Status names_valid =
        check_change_names(request.change_id, request.author);
    if (!names_valid.ok())
    {
        return names_valid;
    }
    const absl::Status valid = validate(request.wanted);
    if (!valid.ok())
    {
        return valid;
    }
    const absl::StatusOr<accepted_document> accepted = changes_.get(revision(0));
    if (!accepted.ok())
    {
        return accepted.status();
    }
    if (accepted->content.find_pool(request.pool) == nullptr)
    {
        return make_error(absl::StatusCode::kNotFound,
                          error_number::no_such_object,
                          absl::StrCat("there is no pool '", request.pool.get(), "'"));
    }
    return absl::OkStatus();
}

absl::StatusOr<order_service::stored_orders>
order_service::read_orders(const pool_id& pool)
{
    const auto entry = store_.get(orders_key(pool));
    if (!entry.ok())
    {
        return entry.status();
    }
    if (!entry->has_value())
    {
        return stored_orders{};
    }
    absl::StatusOr<pool_orders> orders = parse_pool_orders((*entry)->value);
    if (!orders.ok())
    {
        return make_error(
            absl::StatusCode::kInternal,
            error_number::store_malformed,
            absl::StrCat(orders_key(pool), ": ", orders.status().message()));
    }
    return stored_orders{*std::move(orders), (*entry)->modified};
}

absl::StatusOr<std::optional<order_result>>
order_service::find_duplicate(const stored_orders& stored, const order_request& request)
{
    const pool_orders& newest = stored.orders;
    if (newest.number > revision(0) && newest.change_id == request.change_id)
    {
        if (!same_orders(newest.wanted, request.wanted))
        {
            return reused_error(request.change_id);
        }
        return earlier_result(newest.number);
    }
    const auto records = changes_.audit().list();
    if (!records.ok())
    {
        return records.status();
    }
    const auto found = std::find_if(records->begin(),
                                    records->end(),
                                    [&request](const audit_record& one)
                                    {
                                        return one.kind == audit_kind::order &&
                                               one.change_id == request.change_id;
                                    });
    if (found == records->end())
    {
        return std::nullopt;
    }
    if (found->summary != summary_of(request.pool, request.wanted))
    {
        return reused_error(request.change_id);
    }
    return earlier_result(revision(found->number));
}

absl::StatusOr<std::optional<order_result>>
order_service::try_once(const order_request& request, order_progress& progress)
{
    const absl::StatusOr<stored_orders> stored = read_orders(request.pool);
    if (!stored.ok())
    {
        return stored.status();
    }
    auto duplicate = find_duplicate(*stored, request);
    if (!duplicate.ok() || duplicate->has_value())
    {
        return duplicate;
    }
    const revision base = stored->orders.number;
    if (progress.first_base.value_or(base) != base)
    {
        progress.pending_base.reset();
        return conflict_error(request.pool, stored->orders);
    }
    progress.first_base = base;
    const absl::Status recorded = record(request, stored->orders);
    if (!recorded.ok())
    {
        return recorded;
    }
    pool_orders next;
    next.wanted = request.wanted;
    next.change_id = request.change_id;
    next.author = request.author;
    next.number = revision(base.get() + 1);
    next.accepted_at = std::max(time_.wall_now(), stored->orders.accepted_at);
    const absl::StatusOr<bool> written = store_.compare_and_swap(
        orders_key(request.pool), write_pool_orders(next), stored->index);
    if (!written.ok())
    {
        if (may_have_taken_effect(written.status()))
        {
            progress.pending_base = base;
        }
        return written.status();
    }
    if (!*written)
    {
        return std::nullopt;
    }
    log_event(order_accepted,
              {{"pool", request.pool.get()},
               {"revision", next.number.get()},
               {"change_id", next.change_id},
               {"author", next.author}});
    record(request, next).IgnoreError();
    return order_result{change_state::accepted, next.number, false};
}

absl::Status order_service::record(const order_request& request,
                                   const pool_orders& orders)
{
    if (orders.number == revision(0))
    {
        return absl::OkStatus();
    }
    audit_record audit_entry;
    audit_entry.kind = audit_kind::order;
    audit_entry.number = orders.number.get();
    audit_entry.based_on = audit_entry.number - 1;
    audit_entry.change_id = orders.change_id;
    audit_entry.author = orders.author;
    audit_entry.summary = summary_of(request.pool, orders.wanted);
    audit_entry.at = orders.accepted_at;
    return changes_.audit().add(audit_entry, request.pool.get());
}

} // namespace medlar
