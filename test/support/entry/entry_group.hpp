#ifndef MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_GROUP_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_GROUP_HPP

#include "support/entry/entry_fixture.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Entry hosts that know each other.
class entry_group : public entry_fixture
{
  public:
    /// Starts some hosts; the store must have a configuration and targets.
    void start_hosts(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            all_settings.push_back(settings(absl::StrCat("host-", i)));
            hosts.push_back(start(all_settings.back()));
        }
        expect_acquainted();
    }

    /// Starts one more host.
    void add_host(const std::string& name)
    {
        all_settings.push_back(settings(name));
        hosts.push_back(start(all_settings.back()));
        expect_acquainted();
    }

    /// Kills a host; those after it move up.
    void kill_host(std::size_t which)
    {
        const auto at = static_cast<std::ptrdiff_t>(which);
        kill(hosts.at(which));
        hosts.erase(hosts.begin() + at);
        all_settings.erase(all_settings.begin() + at);
    }

    std::vector<entry_settings> all_settings;
    std::vector<std::shared_ptr<running_host>> hosts;

  private:
    /// waits until all hosts are ready and know each other
    void expect_acquainted()
    {
        const std::string live =
            absl::StrCat("medlar_entry_hosts_live ", all_settings.size(), "\n");
        for (const entry_settings& each : all_settings)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return is_ready(each);
                }));
            CPPUNIT_ASSERT(until(
                [&]
                {
                    const std::string metrics =
                        send(each.metrics_endpoint,
                             "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
                            .body;
                    return absl::StrContains(metrics, live);
                }));
        }
    }
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_GROUP_HPP
