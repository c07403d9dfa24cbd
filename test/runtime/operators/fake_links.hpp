#ifndef MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_LINKS_HPP
#define MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_LINKS_HPP

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/link/link.hpp>

#include <absl/strings/str_cat.h>

#include <map>
#include <mutex>
#include <string>

namespace medlar::test
{

/// @brief Links whose peers return the replies that a test sets.
class fake_links : public link_client
{
  public:
    /// replies by "PORT PATH"; a peer without a reply is unreachable
    std::map<std::string, link_reply> replies;

    absl::StatusOr<link_reply> call(const link_call& what) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = replies.find(absl::StrCat(what.to.port, " ", what.path));
        if (found == replies.end())
        {
            return make_error(
                absl::StatusCode::kUnavailable, error_number::link_unreachable, "down");
        }
        return found->second;
    }

    byte_count traffic() const override
    {
        return byte_count(0);
    }

  private:
    std::mutex mutex_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_LINKS_HPP
