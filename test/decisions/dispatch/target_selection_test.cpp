#include <medlar/detail/dispatch/target_selection.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace medlar;

const steady_time now{1000000};
const steady_time later = now + millis(500);

/// Two targets: "near" in the failure domain of the host, and "far" in another.
class a_selection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_selection);
    CPPUNIT_TEST(names_each_reason_of_a_target);
    CPPUNIT_TEST(names_each_reason_of_a_request);
    CPPUNIT_TEST(names_each_reason_of_a_prompt);
    CPPUNIT_TEST(changes_nothing_and_is_the_same_without_a_record);
    CPPUNIT_TEST(names_why_a_target_gets_no_pieces);
    CPPUNIT_TEST(waits_for_a_slot_only_if_no_other_target_can_be_called);
    CPPUNIT_TEST_SUITE_END();

    target_table table_;
    selection_rules rules_;
    target_choice_input input_;
    skip_record skipped_;

    void put(const std::string& name, const std::string& domain)
    {
        target_record record;
        record.id = target_id(name);
        record.pool = pool_id("p");
        record.domain = failure_domain_id(domain);
        record.version = software_version("v-" + name);
        record.slots = 4;
        record.address = {"127.0.0.1", static_cast<std::uint16_t>(domain.front())};
        table_.put(record);
    }

    target_state& near()
    {
        return *table_.find(target_id("near"));
    }

    target_state& far()
    {
        return *table_.find(target_id("far"));
    }

    /// @return the name of the chosen target; empty if there is none
    std::string choose()
    {
        input_.candidates = table_.of_pool(pool_id("p"));
        input_.local_domain = failure_domain_id("a");
        input_.now = now;
        skipped_.clear();
        random_source random(7);
        const target_state* const chosen =
            select_target(input_, rules_, random, &skipped_).target;
        return chosen == nullptr ? "" : chosen->record.id.get();
    }

    void expect(const std::string& chosen, const target_state& target, skip_reason why)
    {
        CPPUNIT_ASSERT_EQUAL(chosen, choose());
        const auto found = std::find_if(skipped_.begin(),
                                        skipped_.end(),
                                        [&](const skipped_target& each)
                                        {
                                            return each.target == &target;
                                        });
        CPPUNIT_ASSERT_MESSAGE(std::string(to_string(why)), found != skipped_.end());
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(why)),
                             std::string(to_string(found->why)));
    }

  public:
    void setUp() override
    {
        table_ = target_table();
        put("near", "a");
        put("far", "b");
        const auto allows = [](const target_state&)
        {
            return true;
        };
        const auto has_not_waited = [](const target_state&)
        {
            return false;
        };
        rules_ = selection_rules();
        rules_.may_run_at = allows;
        rules_.is_left_out_as_cold = has_not_waited;
        rules_.version_of = [](const target_state& each)
        {
            return each.record.version;
        };
        input_ = target_choice_input();
    }

    /// guards against requests that wait for a target in slow start while another is free
    void waits_for_a_slot_only_if_no_other_target_can_be_called()
    {
        std::set<std::string> held;
        std::set<std::string> lacking{"near"};
        bool may_be_granted = true;
        const auto is_in = [](const std::set<std::string>& names)
        {
            return [&names](const target_state& each)
            {
                return names.count(each.record.id.get()) != 0;
            };
        };
        rules_.slots = slot_rules{is_in(held),
                                  is_in(lacking),
                                  [&](const target_state&)
                                  {
                                      return may_be_granted;
                                  }};
        rules_.inputs_domain = failure_domain_id("a");
        expect("far", near(), skip_reason::no_slot);
        lacking = {"near", "far"};
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose());
        may_be_granted = false;
        expect("", near(), skip_reason::no_slot);
        lacking = {};
        held = {"far"};
        rules_.inputs_domain.reset();
        expect("far", near(), skip_reason::slot_held);
    }

    void names_each_reason_of_a_target()
    {
        const std::vector<std::pair<skip_reason, std::function<void(target_state&)>>>
            cases{
                {skip_reason::draining,
                 [](target_state& it)
                 {
                     it.record.is_draining = true;
                 }},
                {skip_reason::leaving,
                 [](target_state& it)
                 {
                     it.is_leaving = true;
                 }},
                {skip_reason::evacuated,
                 [](target_state& it)
                 {
                     it.is_evacuated = true;
                 }},
                {skip_reason::refused,
                 [](target_state& it)
                 {
                     it.refused_until = later;
                 }},
                {skip_reason::paused,
                 [](target_state& it)
                 {
                     it.paused_until = later;
                 }},
                {skip_reason::limited,
                 [](target_state& it)
                 {
                     it.limited_until = later;
                 }},
                {skip_reason::ejected,
                 [](target_state& it)
                 {
                     it.health = eject(it.health, now);
                 }},
                {skip_reason::probing,
                 [](target_state& it)
                 {
                     it.health.state = health_state::probing;
                 }},
                {skip_reason::share_used,
                 [](target_state& it)
                 {
                     it.refusal_limit = 1;
                     it.in_flight = 9;
                 }},
                {skip_reason::busier,
                 [](target_state& it)
                 {
                     it.in_flight = 1;
                 }},
            };
        for (const auto& each : cases)
        {
            setUp();
            each.second(near());
            expect("far", near(), each.first);
        }
    }

    void names_each_reason_of_a_request()
    {
        expect("near", far(), skip_reason::farther);
        input_.tried = {target_id("near")};
        expect("far", near(), skip_reason::tried);
        setUp();
        rules_.version = software_version("v-far");
        expect("far", near(), skip_reason::other_version);
        setUp();
        rules_.inputs_domain = failure_domain_id("b");
        expect("far", near(), skip_reason::other_domain);
        setUp();
        const auto is_far = [this](const target_state& each)
        {
            return &each == &far();
        };
        rules_.may_run_at = is_far;
        expect("far", near(), skip_reason::other_origin);
        setUp();
        rules_.is_left_out_as_cold = is_far;
        expect("near", far(), skip_reason::waited_for_permits);
        near().paused_until = later;
        CPPUNIT_ASSERT_EQUAL(std::string(), choose());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, skipped_.size());
        setUp();
        far().record.domain = failure_domain_id("a");
        const bool is_near = choose() == "near";
        expect(is_near ? "near" : "far", is_near ? far() : near(), skip_reason::drawn);
    }

    void names_each_reason_of_a_prompt()
    {
        input_.prefix = 42;
        const std::string preferred = choose();
        const bool is_near = preferred == "near";
        target_state& first = is_near ? near() : far();
        target_state& second = is_near ? far() : near();
        expect(preferred, second, skip_reason::less_preferred);
        first.in_flight = 12;
        expect(second.record.id.get(), first, skip_reason::above_load_bound);
    }

    /// An explanation must not begin the probe of an ejected target.
    void changes_nothing_and_is_the_same_without_a_record()
    {
        near().health = eject(near().health, now - millis(60000));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose());
        CPPUNIT_ASSERT(near().health.state == health_state::ejected);
        CPPUNIT_ASSERT_EQUAL(0, near().in_flight);
        random_source one(3);
        random_source other(3);
        for (std::uint64_t prefix = 0; prefix < 20; ++prefix)
        {
            input_.prefix = prefix;
            CPPUNIT_ASSERT(select_target(input_, rules_, one).target ==
                           select_target(input_, rules_, other, &skipped_).target);
        }
        CPPUNIT_ASSERT_EQUAL(one.next(), other.next());
    }

    void names_why_a_target_gets_no_pieces()
    {
        const piece_group group{pool_id("p"), "b"};
        const auto reason = [&](const target_state& each)
        {
            return reason_not_in_use(each, group, is_whole_pool(group, table_), now);
        };
        CPPUNIT_ASSERT(reason(near()) == skip_reason::not_in_group);
        CPPUNIT_ASSERT(reason(far()) == skip_reason::none);
        far().paused_until = later;
        CPPUNIT_ASSERT(reason(far()) == skip_reason::paused);
        table_.set_evacuated(failure_domain_id("b"), true);
        CPPUNIT_ASSERT(reason(far()) == skip_reason::evacuated);
        CPPUNIT_ASSERT(reason(near()) == skip_reason::none);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_selection);

} // namespace
