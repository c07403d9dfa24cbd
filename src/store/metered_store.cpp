#include <medlar/detail/base/error.hpp>
#include <medlar/detail/store/metered_store.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

std::size_t size_of(const store_entry& entry)
{
    return entry.key.size() + entry.value.size();
}

std::size_t size_of(const store_folder& folder)
{
    std::size_t size = 0;
    for (const store_entry& entry : folder.entries)
    {
        size += size_of(entry);
    }
    return size;
}

std::size_t size_of(const std::optional<store_entry>& entry)
{
    return entry ? size_of(*entry) : 0;
}

/// @brief Forwards to another store_client and counts the calls.
class metered_store : public store_client
{
  public:
    metered_store(std::unique_ptr<store_client> wrapped, metrics_registry& metrics)
        : wrapped_(std::move(wrapped)), metrics_(metrics)
    {
    }

    absl::StatusOr<std::optional<store_entry>> get(const std::string& key) override
    {
        return count_read("get", wrapped_->get(key));
    }

    absl::StatusOr<store_folder> list(const std::string& prefix) override
    {
        return count_read("list", wrapped_->list(prefix));
    }

    absl::StatusOr<store_folder>
    watch(const std::string& prefix, store_index after, millis wait) override
    {
        return count_read("watch", wrapped_->watch(prefix, after, wait));
    }

    absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                          const std::string& value,
                                          store_index expected) override
    {
        return count_write("compare_and_swap",
                           key.size() + value.size(),
                           wrapped_->compare_and_swap(key, value, expected));
    }

    absl::StatusOr<store_lease> create_lease(millis time_to_live) override
    {
        return count_write("create_lease", 0, wrapped_->create_lease(time_to_live));
    }

    absl::StatusOr<bool> renew_lease(const store_lease& lease) override
    {
        return count_write("renew_lease", 0, wrapped_->renew_lease(lease));
    }

    absl::StatusOr<bool> acquire(const std::string& key,
                                 const std::string& value,
                                 const store_lease& lease) override
    {
        return count_write(
            "acquire", key.size() + value.size(), wrapped_->acquire(key, value, lease));
    }

    absl::StatusOr<bool> release(const std::string& key,
                                 const std::string& value,
                                 const store_lease& lease) override
    {
        return count_write(
            "release", key.size() + value.size(), wrapped_->release(key, value, lease));
    }

    void close() override
    {
        wrapped_->close();
    }

  private:
    template <typename Result>
    Result count_read(const char* call, Result result)
    {
        count(call, result.status(), result.ok() ? size_of(*result) : 0);
        return result;
    }

    template <typename Result>
    Result count_write(const char* call, std::size_t bytes, Result result)
    {
        count(call, result.status(), bytes);
        return result;
    }

    void count(const char* call, const absl::Status& status, std::size_t bytes)
    {
        const std::string result =
            status.ok() ? "ok" : absl::StrCat(error_number_of(status));
        metrics_.add("medlar_store_calls_total", {{"call", call}, {"result", result}});
        metrics_.add(
            "medlar_store_bytes_total", {{"call", call}}, static_cast<double>(bytes));
    }

    std::unique_ptr<store_client> wrapped_;
    metrics_registry& metrics_;
};

} // namespace

std::unique_ptr<store_client> make_metered(std::unique_ptr<store_client> wrapped,
                                           metrics_registry& metrics)
{
    return std::make_unique<metered_store>(std::move(wrapped), metrics);
}

} // namespace medlar
