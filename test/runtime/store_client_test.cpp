#include "standins/shared/kv_server.hpp"
#include "support/cut_answer_server.hpp"

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/store/consul_json.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>

namespace
{

using medlar::error_number;
using medlar::error_number_of;
using medlar::millis;
using medlar::store_client;
using medlar::store_entry;
using medlar::store_index;
using medlar::test::answer_end;
using medlar::test::chunked_answer;
using medlar::test::cut_answer_server;
using medlar::test::cut_before_the_last_chunk;
using medlar::test::cut_heads;

constexpr millis call_timeout{2000};
constexpr millis short_timeout{200};
constexpr std::chrono::milliseconds min_lease(10);

int number(error_number which)
{
    return static_cast<int>(which);
}

class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(an_entry_is_written_once_and_read_back);
    CPPUNIT_TEST(a_swap_with_an_old_index_is_not_written);
    CPPUNIT_TEST(keys_with_spaces_and_reserved_characters_are_distinct);
    CPPUNIT_TEST(a_watch_returns_when_its_folder_changes);
    CPPUNIT_TEST(a_watch_ends_after_its_wait);
    CPPUNIT_TEST(closing_the_client_ends_a_watch);
    CPPUNIT_TEST(the_lock_count_increases_with_each_new_holder);
    CPPUNIT_TEST(an_expired_lease_can_neither_be_renewed_nor_lock);
    CPPUNIT_TEST(refused_connections_are_error_701);
    CPPUNIT_TEST(the_next_address_is_tried_when_one_refuses);
    CPPUNIT_TEST(a_lost_reply_is_error_702_and_the_write_took_effect);
    CPPUNIT_TEST(a_closed_connection_is_error_702_and_the_write_had_no_effect);
    CPPUNIT_TEST(a_slow_store_is_error_702);
    CPPUNIT_TEST(a_rate_limit_is_error_703);
    CPPUNIT_TEST(a_value_above_the_limit_is_error_703);
    CPPUNIT_TEST(a_reply_of_another_protocol_is_error_704);
    CPPUNIT_TEST(a_write_with_an_unusable_reply_is_error_702);
    CPPUNIT_TEST(a_read_whose_reply_has_a_cut_head_is_error_702);
    CPPUNIT_TEST(a_renewal_whose_reply_has_a_cut_head_is_error_702);
    CPPUNIT_TEST(a_reply_that_stops_in_its_head_is_error_702);
    CPPUNIT_TEST(a_reply_without_its_last_chunk_is_error_702);
    CPPUNIT_TEST(a_reply_without_length_that_ends_by_a_reset_is_error_702);
    CPPUNIT_TEST(a_restored_older_state_has_a_lower_index);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        server_ = std::make_unique<standins::kv_server>(medlar::endpoint{"127.0.0.1", 0},
                                                        min_lease);
        store_ = store_client::create({server_->where()}, call_timeout);
    }

    void tearDown() override
    {
        store_.reset();
        server_.reset();
    }

  private:
    bool write(const std::string& key, const std::string& value, std::uint64_t expected)
    {
        const absl::StatusOr<bool> done =
            store_->compare_and_swap(key, value, store_index(expected));
        CPPUNIT_ASSERT_MESSAGE(done.status().ToString(), done.ok());
        return *done;
    }

    store_entry read(const std::string& key)
    {
        const absl::StatusOr<std::optional<store_entry>> found = store_->get(key);
        CPPUNIT_ASSERT_MESSAGE(found.status().ToString(), found.ok());
        CPPUNIT_ASSERT(found->has_value());
        return **found;
    }

    void assert_error(error_number expected, const absl::Status& status)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            status.ToString(), number(expected), error_number_of(status));
    }

    // entries

    void an_entry_is_written_once_and_read_back()
    {
        CPPUNIT_ASSERT(!store_->get("medlar/live/view")->has_value());
        CPPUNIT_ASSERT(write("medlar/live/view", "one", 0));
        CPPUNIT_ASSERT(!write("medlar/live/view", "two", 0));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), read("medlar/live/view").value);
    }

    void a_swap_with_an_old_index_is_not_written()
    {
        write("key", "one", 0);
        const store_index first = read("key").modified;
        CPPUNIT_ASSERT(write("key", "two", first.get()));
        CPPUNIT_ASSERT(!write("key", "three", first.get()));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), read("key").value);
    }

    void keys_with_spaces_and_reserved_characters_are_distinct()
    {
        write("pool a?b&c=d", "one", 0);
        write("pool a", "two", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), read("pool a?b&c=d").value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_->list("pool a")->entries.size());
    }

    // watches

    void a_watch_returns_when_its_folder_changes()
    {
        write("medlar/live/view", "one", 0);
        const store_index seen = store_->list("medlar/live/")->index;
        auto watching =
            std::async(std::launch::async,
                       [this, seen]
                       {
                           return store_->watch("medlar/live/", seen, millis(60000));
                       });
        write("elsewhere", "one", 0);
        write("medlar/live/configuration", "two", 0);
        const absl::StatusOr<medlar::store_folder> folder = watching.get();
        CPPUNIT_ASSERT(folder.ok());
        CPPUNIT_ASSERT(folder->index > seen);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, folder->entries.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, server_->calls()["watch"]);
    }

    void a_watch_ends_after_its_wait()
    {
        write("medlar/live/view", "one", 0);
        const store_index seen = store_->list("medlar/live/")->index;
        const absl::StatusOr<medlar::store_folder> folder =
            store_->watch("medlar/live/", seen, millis(20));
        CPPUNIT_ASSERT(folder.ok());
        CPPUNIT_ASSERT(folder->index == seen);
    }

    void closing_the_client_ends_a_watch()
    {
        write("medlar/live/view", "one", 0);
        const store_index seen = store_->list("medlar/live/")->index;
        auto watching =
            std::async(std::launch::async,
                       [this, seen]
                       {
                           return store_->watch("medlar/live/", seen, millis(600000));
                       });
        while (server_->calls()["watch"] == 0)
        {
            std::this_thread::yield();
        }
        store_->close();
        CPPUNIT_ASSERT(!watching.get().ok());
        assert_error(error_number::store_unreachable, store_->get("key").status());
    }

    // leases

    void the_lock_count_increases_with_each_new_holder()
    {
        const auto first = store_->create_lease(millis(60000));
        const auto second = store_->create_lease(millis(60000));
        CPPUNIT_ASSERT(*store_->acquire("lock", "a", *first));
        CPPUNIT_ASSERT(*store_->acquire("lock", "a again", *first));
        CPPUNIT_ASSERT(!*store_->acquire("lock", "b", *second));
        const store_entry held = read("lock");
        CPPUNIT_ASSERT(held.holder == *first);
        CPPUNIT_ASSERT(*store_->release("lock", "a", *first));
        CPPUNIT_ASSERT(*store_->acquire("lock", "b", *second));
        CPPUNIT_ASSERT(read("lock").lock_count > held.lock_count);
        CPPUNIT_ASSERT(!*store_->release("lock", "a", *first));
    }

    void an_expired_lease_can_neither_be_renewed_nor_lock()
    {
        const auto lease = store_->create_lease(millis(60000));
        CPPUNIT_ASSERT(*store_->acquire("lock", "a", *lease));
        CPPUNIT_ASSERT(*store_->renew_lease(*lease));
        server_->state().end_sessions(lease->get());
        CPPUNIT_ASSERT(!*store_->renew_lease(*lease));
        CPPUNIT_ASSERT(!store_->acquire("lock", "b", *lease).ok());
        CPPUNIT_ASSERT(read("lock").holder == medlar::store_lease(""));
    }

    // errors

    void refused_connections_are_error_701()
    {
        server_->set_switches({{"down", true}, {"refuse", true}});
        assert_error(error_number::store_unreachable, store_->get("key").status());
        assert_error(error_number::store_unreachable,
                     store_->compare_and_swap("key", "one", store_index(0)).status());
        server_->set_switches({{"down", false}});
        CPPUNIT_ASSERT(write("key", "one", 0));
    }

    void the_next_address_is_tried_when_one_refuses()
    {
        standins::kv_server gone(medlar::endpoint{"127.0.0.1", 0}, min_lease);
        gone.set_switches({{"down", true}, {"refuse", true}});
        store_ = store_client::create({gone.where(), server_->where()}, call_timeout);
        CPPUNIT_ASSERT(write("key", "one", 0));
    }

    void a_lost_reply_is_error_702_and_the_write_took_effect()
    {
        server_->set_switches({{"lose_next_writes", 1}});
        assert_error(error_number::store_reply_lost,
                     store_->compare_and_swap("key", "one", store_index(0)).status());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), read("key").value);
    }

    void a_closed_connection_is_error_702_and_the_write_had_no_effect()
    {
        server_->set_switches({{"down", true}});
        assert_error(error_number::store_reply_lost,
                     store_->compare_and_swap("key", "one", store_index(0)).status());
        server_->set_switches({{"down", false}});
        CPPUNIT_ASSERT(!store_->get("key")->has_value());
    }

    void a_slow_store_is_error_702()
    {
        store_ = store_client::create({server_->where()}, short_timeout);
        server_->set_switches({{"delay_ms", 3 * short_timeout.count()}});
        assert_error(error_number::store_reply_lost, store_->get("key").status());
    }

    void a_rate_limit_is_error_703()
    {
        server_->set_switches({{"max_writes_per_second", 1}});
        absl::Status status;
        for (int i = 0; i < 100 && status.ok(); ++i)
        {
            status = store_->compare_and_swap("key", "one", store_index(0)).status();
        }
        assert_error(error_number::store_refused, status);
    }

    void a_value_above_the_limit_is_error_703()
    {
        const std::string large(1024 * 1024 + 1, 'x');
        assert_error(error_number::store_refused,
                     store_->compare_and_swap("key", large, store_index(0)).status());
        CPPUNIT_ASSERT(write("key", large.substr(1), 0));
        CPPUNIT_ASSERT(read("key").value == large.substr(1));
    }

    void a_reply_of_another_protocol_is_error_704()
    {
        for (const char* body : {"",
                                 "{}",
                                 "[1]",
                                 R"([{"Key": "a"}])",
                                 R"([{"Key": "a", "Value": "?", "ModifyIndex": 1}])",
                                 R"([{"Key": "a", "Value": "", "ModifyIndex": "1"}])"})
        {
            assert_error(error_number::store_malformed,
                         medlar::parse_entries(body, 1).status());
        }
        assert_error(error_number::store_malformed, medlar::parse_session("[]").status());
    }

    void a_write_with_an_unusable_reply_is_error_702()
    {
        for (const std::string reply :
             {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntru",
              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr",
              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
              "not HTTP\r\n\r\n"})
        {
            Poco::Net::ServerSocket listening(Poco::Net::SocketAddress("127.0.0.1", 0));
            auto answering = std::async(std::launch::async,
                                        [&listening, &reply]
                                        {
                                            answer_once(listening, reply);
                                        });
            store_ = store_client::create({{"127.0.0.1", listening.address().port()}},
                                          call_timeout);
            assert_error(error_number::store_reply_lost,
                         store_->compare_and_swap("key", "one", store_index(0)).status());
            answering.get();
        }
    }

    /// @brief Accepts one connection and answers its request with @p reply, byte for
    /// byte.
    static void answer_once(Poco::Net::ServerSocket& listening, const std::string& reply)
    {
        Poco::Net::StreamSocket connection = listening.acceptConnection();
        std::string call;
        std::array<char, 256> part{};
        while (call.find("one") == std::string::npos)
        {
            const int size = connection.receiveBytes(part.data(), part.size());
            call.append(part.data(), static_cast<std::size_t>(size));
        }
        connection.sendBytes(reply.data(), static_cast<int>(reply.size()));
        connection.shutdownSend();
    }

    /// @brief Makes the store a server that sends @p reply and ends.
    std::unique_ptr<cut_answer_server> replace_store(const std::string& reply,
                                                     answer_end end)
    {
        auto server = std::make_unique<cut_answer_server>(reply, end);
        const millis timeout = end == answer_end::silence ? short_timeout : call_timeout;
        store_ = store_client::create({server->where()}, timeout);
        return server;
    }

    void assert_read_lost(const std::string& reply, answer_end end)
    {
        const auto server = replace_store(reply, end);
        const auto found = store_->get("key");
        CPPUNIT_ASSERT_MESSAGE("taken as an answer: " + reply, !found.ok());
        assert_error(error_number::store_reply_lost, found.status());
    }

    void assert_renewal_lost(const std::string& reply, answer_end end)
    {
        const auto server = replace_store(reply, end);
        const absl::StatusOr<bool> renewed =
            store_->renew_lease(medlar::store_lease("1"));
        CPPUNIT_ASSERT_MESSAGE("taken as an answer: " + reply, !renewed.ok());
        assert_error(error_number::store_reply_lost, renewed.status());
    }

    void a_read_whose_reply_has_a_cut_head_is_error_702()
    {
        for (const char* reply :
             {"HTTP/1.1 404 Not Found\r\nX-Consul-Index: 71\r\n"
              "Content-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nX-Consul-Index: 71\r\nContent-Length: 2\r\n\r\n[]"})
        {
            for (const std::string& cut : cut_heads(reply))
            {
                assert_read_lost(cut, answer_end::close);
                assert_read_lost(cut, answer_end::reset);
            }
        }
    }

    void a_renewal_whose_reply_has_a_cut_head_is_error_702()
    {
        for (const char* reply : {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                                  "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"})
        {
            for (const std::string& cut : cut_heads(reply))
            {
                assert_renewal_lost(cut, answer_end::close);
                assert_renewal_lost(cut, answer_end::reset);
            }
        }
    }

    void a_reply_that_stops_in_its_head_is_error_702()
    {
        assert_renewal_lost("HTTP/1.1 404 Not Found\r\n", answer_end::silence);
        assert_renewal_lost("HTTP/1.1 200 OK\r\nContent-Length: 0", answer_end::silence);
        assert_read_lost("HTTP/1.1 404 Not Found\r\nX-Consul-Index: 7",
                         answer_end::silence);
    }

    void a_reply_without_its_last_chunk_is_error_702()
    {
        for (const std::string& cut :
             cut_before_the_last_chunk(chunked_answer("200 OK", "[]")))
        {
            assert_read_lost(cut, answer_end::close);
            assert_read_lost(cut, answer_end::reset);
            assert_renewal_lost(cut, answer_end::close);
        }
        for (const std::string& cut :
             cut_before_the_last_chunk(chunked_answer("404 Not Found", "no")))
        {
            assert_renewal_lost(cut, answer_end::close);
            assert_renewal_lost(cut, answer_end::reset);
        }
    }

    void a_reply_without_length_that_ends_by_a_reset_is_error_702()
    {
        const std::string reply = "HTTP/1.1 200 OK\r\n\r\n[]";
        assert_read_lost(reply, answer_end::reset);
        assert_renewal_lost(reply, answer_end::reset);
        const auto closing = replace_store(reply, answer_end::close);
        CPPUNIT_ASSERT(!store_->get("key")->has_value());
    }

    void a_restored_older_state_has_a_lower_index()
    {
        write("medlar/live/configuration", "one", 0);
        const std::size_t snapshot = server_->state().snapshot();
        const store_index first = read("medlar/live/configuration").modified;
        write("medlar/live/configuration", "two", first.get());
        server_->state().restore(snapshot);
        const absl::StatusOr<medlar::store_folder> folder = store_->list("medlar/live/");
        CPPUNIT_ASSERT(folder->index == first);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), folder->entries.front().value);
    }

    std::unique_ptr<standins::kv_server> server_;
    std::unique_ptr<store_client> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace
