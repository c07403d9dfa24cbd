#include <medlar/detail/base/error.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/store/consul_json.hpp>
#include <medlar/detail/store/http_pool.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <Poco/URI.h>
#include <absl/strings/str_cat.h>

#include <atomic>

namespace medlar
{

namespace
{

// Consul adds up to 1/16 of its wait to the duration of a watch.
constexpr std::int64_t watch_jitter_divisor = 16;

enum class call_kind
{
    read,
    write,
};

std::string entry_path(const std::string& key)
{
    std::string encoded;
    Poco::URI::encode(key, "?#%&=+ ", encoded);
    return absl::StrCat("/v1/kv/", encoded);
}

absl::Status reply_lost(absl::string_view what)
{
    return make_error(absl::StatusCode::kUnknown, error_number::store_reply_lost, what);
}

absl::Status refused(const http_answer& answer)
{
    return make_error(
        absl::StatusCode::kResourceExhausted,
        error_number::store_refused,
        absl::StrCat("the store answered ", answer.status, ": ", answer.body));
}

absl::Status malformed(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss, error_number::store_malformed, what);
}

absl::Status to_store_error(const absl::Status& failure)
{
    switch (failure.code())
    {
        case absl::StatusCode::kUnavailable:
            return make_error(absl::StatusCode::kUnavailable,
                              error_number::store_unreachable,
                              failure.message());
        case absl::StatusCode::kDataLoss:
            return malformed(failure.message());
        default:
            return reply_lost(failure.message());
    }
}

absl::StatusOr<bool> to_bool(const absl::StatusOr<http_answer>& answer)
{
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->body.rfind("true", 0) == 0)
    {
        return true;
    }
    if (answer->body.rfind("false", 0) == 0)
    {
        return false;
    }
    return reply_lost("a write was answered neither true nor false");
}

/// @brief Implements store_client over the HTTP protocol of Consul.
class consul_client : public store_client
{
  public:
    consul_client(std::vector<endpoint> addresses, millis timeout) : timeout_(timeout)
    {
        for (endpoint& each : addresses)
        {
            pools_.push_back(std::make_unique<http_pool>(std::move(each)));
        }
    }

    absl::StatusOr<std::optional<store_entry>> get(const std::string& key) override
    {
        const absl::StatusOr<store_folder> found = read(entry_path(key), timeout_);
        if (!found.ok())
        {
            return found.status();
        }
        if (found->entries.empty())
        {
            return std::optional<store_entry>();
        }
        return std::optional<store_entry>(found->entries.front());
    }

    absl::StatusOr<store_folder> list(const std::string& prefix) override
    {
        return read(absl::StrCat(entry_path(prefix), "?recurse=true"), timeout_);
    }

    absl::StatusOr<store_folder>
    watch(const std::string& prefix, store_index after, millis wait) override
    {
        const std::string target = absl::StrCat(entry_path(prefix),
                                                "?recurse=true&index=",
                                                after.get(),
                                                "&wait=",
                                                wait.count(),
                                                "ms");
        const millis max_duration = wait + wait / watch_jitter_divisor + timeout_;
        return read(target, max_duration);
    }

    absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                          const std::string& value,
                                          store_index expected) override
    {
        return to_bool(
            write(absl::StrCat(entry_path(key), "?cas=", expected.get()), value));
    }

    absl::StatusOr<store_lease> create_lease(millis time_to_live) override
    {
        const absl::StatusOr<http_answer> answer =
            write("/v1/session/create", write_session(time_to_live));
        if (!answer.ok())
        {
            return answer.status();
        }
        return parse_session(answer->body);
    }

    absl::StatusOr<bool> renew_lease(const store_lease& lease) override
    {
        const absl::StatusOr<http_answer> answer =
            call({"PUT", absl::StrCat("/v1/session/renew/", lease.get()), "", timeout_},
                 call_kind::write);
        if (!answer.ok())
        {
            return answer.status();
        }
        if (answer->status == status_not_found)
        {
            return false;
        }
        return answer->status == status_ok ? absl::StatusOr<bool>(true)
                                           : refused(*answer);
    }

    absl::StatusOr<bool> acquire(const std::string& key,
                                 const std::string& value,
                                 const store_lease& lease) override
    {
        return to_bool(
            write(absl::StrCat(entry_path(key), "?acquire=", lease.get()), value));
    }

    absl::StatusOr<bool> release(const std::string& key,
                                 const std::string& value,
                                 const store_lease& lease) override
    {
        return to_bool(
            write(absl::StrCat(entry_path(key), "?release=", lease.get()), value));
    }

    void close() override
    {
        for (const std::unique_ptr<http_pool>& each : pools_)
        {
            each->close();
        }
    }

  private:
    absl::StatusOr<store_folder> read(const std::string& target, millis timeout)
    {
        const absl::StatusOr<http_answer> answer =
            call({"GET", target, "", timeout}, call_kind::read);
        if (!answer.ok())
        {
            return answer.status();
        }
        if (answer->status == status_not_found && answer->index > 0)
        {
            return store_folder{store_index(answer->index), {}};
        }
        if (answer->status != status_ok)
        {
            return refused(*answer);
        }
        return parse_entries(answer->body, answer->index);
    }

    absl::StatusOr<http_answer> write(const std::string& target, const std::string& body)
    {
        absl::StatusOr<http_answer> answer =
            call({"PUT", target, body, timeout_}, call_kind::write);
        if (answer.ok() && answer->status != status_ok)
        {
            return refused(*answer);
        }
        return answer;
    }

    /// @brief Sends a request to the address that answered last. If nothing could be
    /// sent, the other addresses are tried in turn.
    absl::StatusOr<http_answer> call(const http_call& request, call_kind kind)
    {
        const std::size_t first = preferred_.load();
        absl::Status failure = absl::UnavailableError("no address of the store is set");
        for (std::size_t i = 0; i < pools_.size(); ++i)
        {
            const std::size_t at = (first + i) % pools_.size();
            absl::StatusOr<http_answer> answer = pools_[at]->call(request);
            if (answer.ok())
            {
                preferred_ = at;
                return check_write_outcome(std::move(*answer), kind);
            }
            failure = answer.status();
            preferred_ = (at + 1) % pools_.size();
            if (failure.code() != absl::StatusCode::kUnavailable)
            {
                break;
            }
        }
        return to_store_error(failure);
    }

    /// @brief Converts a server error of a write to error 702: the write may have taken
    /// effect.
    static absl::StatusOr<http_answer> check_write_outcome(http_answer answer,
                                                           call_kind kind)
    {
        if (kind == call_kind::write && answer.status >= status_server_error)
        {
            return reply_lost(
                absl::StrCat("the store answered ", answer.status, ": ", answer.body));
        }
        return answer;
    }

    millis timeout_;
    std::vector<std::unique_ptr<http_pool>> pools_;
    std::atomic<std::size_t> preferred_{0};
};

} // namespace

std::unique_ptr<store_client> store_client::create(std::vector<endpoint> addresses,
                                                   millis timeout)
{
    return std::make_unique<consul_client>(std::move(addresses), timeout);
}

} // namespace medlar
