#include "support/entry/mortal_target.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using session = mortal_target::session;

/// one host in front of one target, whose report ends with its connection and whose
/// streams have one event
class unframed_reports : public entry_fixture
{
  public:
    explicit unframed_reports(const std::string& report)
        : target_(loop,
                  "i-1",
                  "plain",
                  [](session& from, const request_head& head)
                  {
                      answer(from, head);
                  })
    {
        target_.report_handler = [report](session& from, const request_head&)
        {
            from.write("HTTP/1.1 200 OK\r\n\r\n" + report);
            from.finish();
        };
        store.put(target_.key(), target_.entry());
        store.put("op/config",
                  configuration_json(3, {route_json("/s/", "stream", "plain")}));
        host_settings_ = settings("host-1");
        host_ = start(host_settings_);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings_);
            }));
    }

    int begin_stream()
    {
        return fetch("id-1", "");
    }

    int resume_stream()
    {
        return fetch("id-2", "Last-Event-Id: 1\r\nResumes: id-1\r\n");
    }

  private:
    static void answer(session& from, const request_head& head)
    {
        const std::string event = "id: 1\ndata: x\n\n";
        from.write(absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ",
                                head.headers.get("Attempt-Id"),
                                "\r\nResponse-Signature: s.1\r\nContent-Length: ",
                                event.size(),
                                "\r\n\r\n",
                                event));
    }

    int fetch(const std::string& attempt, const std::string& headers)
    {
        return send(host_settings_.caller_endpoint,
                    request_text("POST", "/s/x", attempt, "b", headers))
            .status;
    }

    mortal_target target_;
    entry_settings host_settings_;
    std::shared_ptr<running_host> host_;
};

class a_report_that_ends_with_its_connection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_report_that_ends_with_its_connection);
    CPPUNIT_TEST(states_a_start_when_it_is_whole);
    CPPUNIT_TEST(is_no_answer_when_it_is_cut);
    CPPUNIT_TEST_SUITE_END();

  public:
    void states_a_start_when_it_is_whole()
    {
        unframed_reports it(R"({"busy": false, "born": 5})");
        CPPUNIT_ASSERT_EQUAL(status_ok, it.begin_stream());
        CPPUNIT_ASSERT_EQUAL(status_ok, it.resume_stream());
    }

    void is_no_answer_when_it_is_cut()
    {
        for (const std::string part : {"", R"({"busy": fal)", R"({"busy": false, "bor)"})
        {
            unframed_reports it(part);
            CPPUNIT_ASSERT_EQUAL(status_ok, it.begin_stream());
            // the process that began it is unknown
            CPPUNIT_ASSERT_EQUAL(status_unavailable, it.resume_stream());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_report_that_ends_with_its_connection);

} // namespace
