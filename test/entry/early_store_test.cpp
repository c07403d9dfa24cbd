#include "support/entry/early_store.hpp"
#include "support/entry/entry_fixture.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

constexpr char lease_call[] = "/-/kv-lease";
constexpr char write_call[] = "/-/kv-txn";
constexpr char renewal_call[] = "/-/kv-keep/";

struct odd_answer
{
    std::string text;
    early_store_end how;
};

/// Returns answers that are no success: parts, and whole ones with a status that the
/// protocol does not have.
/// @param body of a success, such as {"revision":7}
std::vector<odd_answer> odd_answers(const std::string& body)
{
    const std::string part = body.substr(0, body.size() / 2);
    std::vector<odd_answer> answers;
    for (const early_store_end how : {early_store_end::reset, early_store_end::close})
    {
        const std::string begin = "HTTP/1.1 200 OK\r\n";
        answers.push_back({absl::StrCat(begin, "\r\n"), how});
        answers.push_back({absl::StrCat(begin, "\r\n", part), how});
        answers.push_back({absl::StrCat(begin, "Connection: close\r\n\r\n", part), how});
        answers.push_back(
            {absl::StrCat(begin, "Content-Length: ", body.size(), "\r\n\r\n", part),
             how});
        std::string chunked = absl::StrCat(begin, "Transfer-Encoding: chunked\r\n\r\n");
        append_chunk(chunked, body);
        answers.push_back({chunked, how});
    }
    for (const char* status : {"000", "099", "600", "999", "1000", "2x0"})
    {
        answers.push_back({absl::StrCat("HTTP/1.1 ",
                                        status,
                                        " X\r\nContent-Length: ",
                                        body.size(),
                                        "\r\n\r\n",
                                        body),
                           early_store_end::close});
    }
    return answers;
}

/// @brief The lines that are logged while it exists.
class logged_lines
{
  public:
    logged_lines()
    {
        logger_.addAppender(appender_);
    }

    ~logged_lines()
    {
        logger_.removeAppender(appender_);
    }

    logged_lines(const logged_lines&) = delete;
    logged_lines& operator=(const logged_lines&) = delete;

    bool contain(const std::string& text) const
    {
        const auto& all = static_cast<const keeper&>(*appender_).lines;
        return std::any_of(all.begin(),
                           all.end(),
                           [&](const std::string& each)
                           {
                               return absl::StrContains(each, text);
                           });
    }

  private:
    class keeper : public log4cplus::Appender
    {
      public:
        ~keeper() override
        {
            destructorImpl();
        }

        void close() override
        {
        }

        std::vector<std::string> lines;

      protected:
        void append(const log4cplus::spi::InternalLoggingEvent& logged) override
        {
            lines.push_back(logged.getMessage());
        }
    };

    log4cplus::Logger logger_ = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("medlar"));
    log4cplus::SharedAppenderPtr appender_{new keeper};
};

/// hosts that each reach the store through a peer that answers some calls early
class early_store_fixture : public entry_fixture
{
  public:
    early_store_fixture()
        : target_(loop,
                  "i-1",
                  "plain",
                  [](const exchange_ptr& exchange)
                  {
                      exchange->answer(status_ok, signed_headers(*exchange), "done");
                  })
    {
        store.put(target_.key(), target_.entry());
        store.put("op/config",
                  configuration_json(2, {route_json("/a/", "idempotent", "plain")}));
    }

    struct proxied_host
    {
        entry_settings settings;
        std::unique_ptr<early_store> between;
        std::shared_ptr<running_host> host;
    };

    /// @param answered number of calls that are answered early
    proxied_host& start_host(const char* call, const odd_answer& answer, int answered)
    {
        hosts_.push_back(std::make_unique<proxied_host>());
        proxied_host& added = *hosts_.back();
        // no name is the beginning of another
        added.settings = settings(absl::StrCat("host-", 100 + hosts_.size()));
        added.between =
            std::make_unique<early_store>(loop, added.settings.store_endpoint);
        added.between->target_prefix = call;
        added.between->answer = answer.text;
        added.between->how = answer.how;
        added.between->left = answered;
        added.settings.store_endpoint = added.between->where();
        added.host = start(added.settings);
        return added;
    }

    /// Starts a host for each answer, whose first call of a kind it is given to, and
    /// checks that the host makes the call again and registers with the store.
    void expect_registered_after(const char* call, const std::string& body)
    {
        const std::vector<odd_answer> answers = odd_answers(body);
        for (const odd_answer& each : answers)
        {
            start_host(call, each, 1);
        }
        for (std::size_t i = 0; i < answers.size(); ++i)
        {
            const std::string what = absl::StrCat(call, " answered by ", answers[i].text);
            const std::string key =
                protocol.host_prefix() + hosts_[i]->settings.host.get();
            CPPUNIT_ASSERT_MESSAGE(what,
                                   until(
                                       [&]
                                       {
                                           return store.has_key_with_prefix(key);
                                       }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 1, hosts_[i]->between->answered);
            CPPUNIT_ASSERT_MESSAGE(what, hosts_[i]->between->calls >= 2);
        }
    }

  private:
    stand_in_target target_;
    std::vector<std::unique_ptr<proxied_host>> hosts_;
};

/// guards against MIXED: a call to the store that counts as a success although the store
/// has not answered it as a whole
class a_store_that_answers_early : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_store_that_answers_early);
    CPPUNIT_TEST(gets_a_write_again);
    CPPUNIT_TEST(grants_no_lease);
    CPPUNIT_TEST(renews_no_lease);
    CPPUNIT_TEST_SUITE_END();

  public:
    void gets_a_write_again()
    {
        early_store_fixture it;
        it.expect_registered_after(write_call, R"({"revision":7})");
    }

    void grants_no_lease()
    {
        early_store_fixture it;
        it.expect_registered_after(lease_call, R"({"lease":1,"ttl_ms":5000})");
    }

    // guards against a host that takes itself for one in contact with the store while
    // its registration lapses
    void renews_no_lease()
    {
        for (const odd_answer& each : odd_answers(R"({"ttl_ms":5000})"))
        {
            const logged_lines lines;
            early_store_fixture it;
            const auto& host = it.start_host(renewal_call, each, 1000);
            CPPUNIT_ASSERT_MESSAGE(each.text,
                                   it.until(
                                       [&]
                                       {
                                           return host.between->answered > 0;
                                       }));
            it.run_for(millis(100));
            CPPUNIT_ASSERT_MESSAGE(each.text, lines.contain("name=entry_store_lost"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_store_that_answers_early);

} // namespace
