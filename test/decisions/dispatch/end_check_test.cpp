#include <medlar/detail/dispatch/end_check.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace
{

using namespace medlar;

using decision = std::variant<answer_end, ask_again>;

constexpr std::int64_t start_ms = 1000;

bool is_end(const decision& decided, answer_end end)
{
    const auto* const found = std::get_if<answer_end>(&decided);
    return found != nullptr && *found == end;
}

bool asks_again(const decision& decided)
{
    return std::holds_alternative<ask_again>(decided);
}

class the_end_of_an_answer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_end_of_an_answer);
    CPPUNIT_TEST(is_its_own_if_the_process_answers);
    CPPUNIT_TEST(is_its_own_if_something_keeps_listening);
    CPPUNIT_TEST(is_unknown_if_all_questions_are_reset);
    CPPUNIT_TEST(is_its_own_if_questions_are_reset_and_an_older_connection_lives);
    CPPUNIT_TEST(is_decided_by_the_answer_that_follows_a_reset);
    CPPUNIT_TEST(is_asked_for_at_once_if_an_idle_connection_has_ended);
    CPPUNIT_TEST(is_that_of_the_process_if_another_one_answers);
    CPPUNIT_TEST(is_that_of_the_process_if_another_target_answers);
    CPPUNIT_TEST(is_that_of_the_process_if_the_next_one_answers_late);
    CPPUNIT_TEST(is_its_own_if_only_the_entry_names_another_start);
    CPPUNIT_TEST(is_that_of_the_process_if_nothing_listens);
    CPPUNIT_TEST(is_its_own_if_only_the_listener_has_ended);
    CPPUNIT_TEST(is_that_of_the_process_if_its_connections_end_one_by_one);
    CPPUNIT_TEST(is_unknown_if_the_target_cannot_be_reached);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_its_own_if_the_process_answers()
    {
        for (const auto& known :
             {std::optional<std::int64_t>(start_ms), std::optional<std::int64_t>()})
        {
            end_check check = end_check::create({known, true});
            CPPUNIT_ASSERT(
                is_end(check.consider({question_end::answered, start_ms, false}),
                       answer_end::whole));
        }
        end_check check = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(is_end(check.consider({question_end::answered, {}, false}),
                              answer_end::whole));
    }

    void is_its_own_if_something_keeps_listening()
    {
        end_check silent = end_check::create({start_ms, true});
        decision decided = silent.consider({question_end::silent, {}, false});
        CPPUNIT_ASSERT(asks_again(decided));
        while (asks_again(decided))
        {
            decided = silent.consider({question_end::silent, {}, false});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::whole));
        // it has left meanwhile
        end_check left = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(asks_again(left.consider({question_end::silent, {}, false})));
        CPPUNIT_ASSERT(
            is_end(left.consider({question_end::refused, {}, false}), answer_end::whole));
        // a connection that lives on says that the process does
        end_check older = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(
            is_end(older.consider({question_end::silent, {}, true}), answer_end::whole));
    }

    // guards against ORDER: two resets were taken as proof that the process lives
    void is_unknown_if_all_questions_are_reset()
    {
        end_check check = end_check::create({start_ms, true});
        decision decided = check.consider({question_end::broken_off, {}, false});
        millis waited{0};
        while (asks_again(decided))
        {
            CPPUNIT_ASSERT(std::get<ask_again>(decided).delay > millis(0));
            waited = waited + std::get<ask_again>(decided).delay;
            decided = check.consider({question_end::broken_off, {}, false});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::unknown));
        // the next process was seen to answer after 300 ms
        CPPUNIT_ASSERT(waited > millis(1000));
        CPPUNIT_ASSERT(waited < millis(2000));
    }

    void is_its_own_if_questions_are_reset_and_an_older_connection_lives()
    {
        // a target resets connections beyond its limit
        end_check check = end_check::create({start_ms, true});
        decision decided = check.consider({question_end::broken_off, {}, true});
        CPPUNIT_ASSERT(asks_again(decided));
        while (asks_again(decided))
        {
            decided = check.consider({question_end::broken_off, {}, true});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::whole));
    }

    void is_decided_by_the_answer_that_follows_a_reset()
    {
        struct following
        {
            end_evidence evidence;
            answer_end end;
        };
        const std::vector<following> all{
            {{question_end::answered, start_ms, false}, answer_end::whole},
            {{question_end::answered, start_ms + 1, false}, answer_end::cut},
            // may be the next process
            {{question_end::answered, {}, false}, answer_end::unknown},
            {{question_end::answered, {}, true}, answer_end::whole},
            {{question_end::misdirected, {}, false}, answer_end::cut},
            {{question_end::refused, {}, false}, answer_end::cut}};
        for (const following& each : all)
        {
            end_check check = end_check::create({start_ms, true});
            const bool has_older = each.evidence.has_older_connection;
            CPPUNIT_ASSERT(
                asks_again(check.consider({question_end::broken_off, {}, has_older})));
            CPPUNIT_ASSERT(is_end(check.consider(each.evidence), each.end));
        }
        // the next process listens, and does not read yet
        end_check silent = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(
            asks_again(silent.consider({question_end::broken_off, {}, false})));
        decision decided = silent.consider({question_end::silent, {}, false});
        while (asks_again(decided))
        {
            decided = silent.consider({question_end::silent, {}, false});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::unknown));
    }

    void is_asked_for_at_once_if_an_idle_connection_has_ended()
    {
        end_check check = end_check::create({start_ms, true});
        const decision decided =
            check.consider({question_end::broken_off, {}, false, true});
        CPPUNIT_ASSERT(asks_again(decided));
        // that says nothing of the process, so that an answer without a start will do
        CPPUNIT_ASSERT(is_end(check.consider({question_end::answered, {}, false}),
                              answer_end::whole));
    }

    void is_that_of_the_process_if_another_one_answers()
    {
        end_check check = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(
            is_end(check.consider({question_end::answered, start_ms + 1, false}),
                   answer_end::cut));
    }

    void is_that_of_the_process_if_another_target_answers()
    {
        end_check check = end_check::create({});
        CPPUNIT_ASSERT(is_end(check.consider({question_end::misdirected, {}, false}),
                              answer_end::cut));
    }

    void is_that_of_the_process_if_the_next_one_answers_late()
    {
        end_check check = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(asks_again(check.consider({question_end::silent, {}, false})));
        CPPUNIT_ASSERT(
            is_end(check.consider({question_end::answered, start_ms + 1, false}),
                   answer_end::cut));
    }

    void is_its_own_if_only_the_entry_names_another_start()
    {
        // the entry is late, and a connection from before lives on
        end_check late = end_check::create({start_ms, false});
        CPPUNIT_ASSERT(is_end(late.consider({question_end::answered, start_ms + 1, true}),
                              answer_end::whole));
        end_check restarted = end_check::create({start_ms, false});
        CPPUNIT_ASSERT(
            is_end(restarted.consider({question_end::answered, start_ms + 1, false}),
                   answer_end::cut));
    }

    void is_that_of_the_process_if_nothing_listens()
    {
        end_check check = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(
            is_end(check.consider({question_end::refused, {}, false}), answer_end::cut));
        // the listener ends some ms after the first connections
        end_check late = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(asks_again(late.consider({question_end::broken_off, {}, false})));
        CPPUNIT_ASSERT(
            is_end(late.consider({question_end::refused, {}, false}), answer_end::cut));
    }

    void is_its_own_if_only_the_listener_has_ended()
    {
        end_check check = end_check::create({start_ms, true});
        decision decided = check.consider({question_end::refused, {}, true});
        CPPUNIT_ASSERT(asks_again(decided));
        while (asks_again(decided))
        {
            CPPUNIT_ASSERT(std::get<ask_again>(decided).delay > millis(0));
            decided = check.consider({question_end::refused, {}, true});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::whole));
    }

    void is_that_of_the_process_if_its_connections_end_one_by_one()
    {
        end_check check = end_check::create({start_ms, true});
        CPPUNIT_ASSERT(asks_again(check.consider({question_end::refused, {}, true})));
        CPPUNIT_ASSERT(
            is_end(check.consider({question_end::refused, {}, false}), answer_end::cut));
    }

    void is_unknown_if_the_target_cannot_be_reached()
    {
        end_check check = end_check::create({start_ms, true});
        decision decided = check.consider({question_end::unreachable, {}, false});
        CPPUNIT_ASSERT(asks_again(decided));
        while (asks_again(decided))
        {
            decided = check.consider({question_end::unreachable, {}, false});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::unknown));
        // a connection that lives on says that the process does
        end_check other = end_check::create({start_ms, true});
        decided = other.consider({question_end::unreachable, {}, true});
        while (asks_again(decided))
        {
            CPPUNIT_ASSERT(std::get<ask_again>(decided).delay > millis(0));
            decided = other.consider({question_end::unreachable, {}, true});
        }
        CPPUNIT_ASSERT(is_end(decided, answer_end::whole));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_end_of_an_answer);

} // namespace
