#include "deployment.hpp"

#include "build_paths.hpp"

#include <medlar/detail/settings/settings.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace medlar::testing
{

namespace
{

using nlohmann::json;

// lease and eviction times, shorter than the defaults to keep the tests short
constexpr std::int64_t lease_ms = 1000;
constexpr std::int64_t renew_ms = 250;
constexpr std::int64_t eviction_ms = 1500;
constexpr std::int64_t margin_ms = 700;
constexpr millis store_timeout{2000};

endpoint endpoint_of(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    CPPUNIT_ASSERT_MESSAGE(text, parsed.ok());
    return *parsed;
}

std::string comma_separated(const std::vector<endpoint>& all)
{
    std::string text;
    for (const endpoint& each : all)
    {
        text += (text.empty() ? "" : ",") + to_string(each);
    }
    return text;
}

json targets_of(const std::string& pool, const std::vector<target_process>& running)
{
    json list = json::array();
    for (std::size_t i = 0; i < running.size(); ++i)
    {
        list.push_back({{"name", pool + "-" + std::to_string(i + 1)},
                        {"address", running[i].where.address},
                        {"port", running[i].where.port},
                        {"failure_domain", "d" + std::to_string(i + 1)}});
    }
    return list;
}

json stage(const std::string& name,
           const std::string& kind,
           const std::string& pool,
           const std::vector<std::string>& after)
{
    return {{"name", name},
            {"kind", kind},
            {"pool", pool},
            {"after", after},
            {"idempotent", kind != "call"}};
}

} // namespace

deployment::deployment(std::string name)
    : name_(std::move(name)), links_(link_client::create())
{
}

std::string deployment::log_name(const std::string& part)
{
    ++started_;
    return name_ + "-" + std::to_string(started_) + "-" + part;
}

target_process deployment::start_target(const std::string& program,
                                        const std::vector<std::string>& flags)
{
    target_process added;
    added.running = std::make_unique<process>(program, flags, log_name(program));
    added.where = endpoint_of(added.running->wait_for_line("listening "));
    return added;
}

void deployment::start_platform()
{
    store_process_ =
        std::make_unique<process>("kv-store",
                                  std::vector<std::string>{"--min_session_ttl_ms=1000"},
                                  log_name("kv-store"));
    store_control = endpoint_of(store_process_->wait_for_line("control "));
    store = endpoint_of(store_process_->wait_for_line("listening "));
    host_list_process_ = std::make_unique<process>(
        "host-list", std::vector<std::string>{"--lag_ms=100"}, log_name("host-list"));
    host_list = endpoint_of(host_list_process_->wait_for_line("listening "));
    for (int i = 0; i < 2; ++i)
    {
        encoders.push_back(start_target("plain-service", {}));
        ledger.push_back(start_target("plain-service", {}));
        language.push_back(start_target("engine", engine_flags));
    }
}

host& deployment::start_host(const std::string& name, const host_options& options)
{
    auto added = std::make_unique<host>();
    added->name = name;
    const std::string store_address = to_string(options.store.value_or(store));
    std::vector<std::string> flags = {"--host_id=" + name,
                                      "--failure_domain=d" + name.substr(1),
                                      "--lease_ms=" + std::to_string(lease_ms),
                                      "--renew_ms=" + std::to_string(renew_ms),
                                      "--drain_wait_ms=200",
                                      "--poll_interval_ms=300",
                                      "--seeds=" + comma_separated(options.seeds)};
    if (options.link)
    {
        flags.push_back("--link=" + to_string(*options.link));
    }
    flags.insert(flags.end(), options.gateway_flags.begin(), options.gateway_flags.end());
    added->gateway =
        std::make_unique<process>("medlar-gateway", flags, log_name("gateway-" + name));
    std::istringstream line(added->gateway->wait_for_line("listening "));
    std::string api;
    std::string word;
    std::string link;
    line >> api >> word >> link;
    added->api = endpoint_of(api);
    added->link = endpoint_of(link);
    added->controller =
        std::make_unique<process>("medlar-controller",
                                  std::vector<std::string>{
                                      "--host_id=" + name,
                                      "--failure_domain=d" + name.substr(1),
                                      "--gateway=" + link,
                                      "--store=" + store_address,
                                      "--store_timeout_ms=1000",
                                      "--watch_wait_ms=2000",
                                      "--host_list=" + to_string(host_list),
                                      "--host_list_period_ms=200",
                                      "--heartbeat_ms=200",
                                      "--eviction_ms=" + std::to_string(eviction_ms),
                                      "--order_lease_ms=2000",
                                      "--order_period_ms=300",
                                      "--order_verify_ms=600",
                                      "--order_candidates=3",
                                      "--load_period_ms=1000",
                                  },
                                  log_name("controller-" + name));
    added->operator_program = std::make_unique<process>(
        "medlar-operator",
        std::vector<std::string>{"--store=" + store_address, "--gateway=" + link},
        log_name("operator-" + name));
    added->operators = endpoint_of(added->operator_program->wait_for_line("listening "));
    hosts.push_back(std::move(added));
    return *hosts.back();
}

void deployment::start_three_hosts()
{
    start_platform();
    for (const char* name : {"h1", "h2", "h3"})
    {
        start_host(name);
    }
    CPPUNIT_ASSERT_EQUAL(0, apply(document()));
    wait_settled({"h1", "h2", "h3"});
    wait_past_margin();
}

json deployment::document() const
{
    const json pools = {
        {{"name", "encoders"},
         {"reports_load", true},
         {"targets", targets_of("encoders", encoders)}},
        {{"name", "ledger"}, {"targets", targets_of("ledger", ledger)}},
        {{"name", "language"},
         {"model", "m"},
         {"reports_load", true},
         {"checks_fencing", true},
         {"targets", targets_of("language", language)}},
    };
    const json post = {{"name", "post"},
                       {"stages",
                        {stage("read", "encode", "encoders", {}),
                         stage("rank", "rerank", "encoders", {"read"}),
                         stage("enter", "call", "ledger", {"rank"})}}};
    const json draft = {{"name", "draft"},
                        {"stages",
                         {stage("read", "encode", "encoders", {}),
                          stage("find", "retrieve", "encoders", {"read"}),
                          stage("write", "generate", "language", {"find"})}}};
    return {{"pools", pools},
            {"pipelines", {post, draft}},
            {"organisations", {{{"name", "plant"}}}}};
}

int deployment::apply(const json& content)
{
    const std::string path =
        std::string(MEDLAR_BINARY_DIR) + "/system-logs/" + name_ + "-document.json";
    std::ofstream(path) << content.dump(2);
    return control(*hosts.front(), {"apply", path});
}

int deployment::control(const host& through,
                        const std::vector<std::string>& arguments,
                        json* output)
{
    std::vector<std::string> all = {
        "--operator=" + to_string(through.operators), "--output=json", "--author=test"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    process command("medlarctl", all, log_name("medlarctl"));
    const std::string text = command.rest_of_output();
    if (output != nullptr)
    {
        *output = json::parse(text, nullptr, false);
    }
    return command.wait();
}

host& deployment::at(const std::string& name)
{
    const auto found = std::find_if(hosts.rbegin(),
                                    hosts.rend(),
                                    [&name](const auto& each)
                                    {
                                        return each->name == name;
                                    });
    CPPUNIT_ASSERT_MESSAGE("no host " + name, found != hosts.rend());
    return **found;
}

json deployment::status(const host& of)
{
    link_call call;
    call.to = of.link;
    call.path = "/v1/status";
    call.body = "{}";
    const auto reply = links_->call(call);
    return reply.ok() ? json::parse(reply->body, nullptr, false) : json();
}

view_record deployment::stored_view()
{
    const auto client = store_client::create({store}, store_timeout);
    const auto entry = client->get("medlar/live/view");
    CPPUNIT_ASSERT(entry.ok() && entry->has_value());
    const auto record = parse_view_record((*entry)->value);
    CPPUNIT_ASSERT(record.ok());
    return *record;
}

void deployment::wait_settled(const std::vector<std::string>& names)
{
    wait_until("a settled view",
               [&]
               {
                   std::uint64_t epoch = 0;
                   for (const std::string& name : names)
                   {
                       const json now = status(at(name));
                       const bool settled = now.is_object() && now["member"] == true &&
                                            now["lease_valid"] == true &&
                                            now["adopted"] == now["newest"] &&
                                            now["may_propose"] == true &&
                                            now["configuration"] != 0;
                       if (!settled ||
                           (epoch != 0 && now["adopted"].get<std::uint64_t>() != epoch))
                       {
                           return false;
                       }
                       epoch = now["adopted"].get<std::uint64_t>();
                   }
                   const view_record record = stored_view();
                   return record.current.epoch.get() == epoch &&
                          record.current.members.size() == names.size();
               });
}

void deployment::wait_past_margin()
{
    const std::int64_t until = wall_now_ms() + margin_ms;
    wait_until("the end of the margin",
               [until]
               {
                   return wall_now_ms() > until;
               });
}

std::string deployment::home_of_request(const std::string& id)
{
    const request_key key{organisation_id("plant"), request_id(id)};
    return home_of(stored_view().current, hash_of(key))->host.get();
}

std::string deployment::id_at_home(const std::string& host_name)
{
    const view current = stored_view().current;
    while (true)
    {
        ++last_id_;
        const std::string id = "r" + std::to_string(last_id_);
        const request_key key{organisation_id("plant"), request_id(id)};
        if (home_of(current, hash_of(key))->host.get() == host_name)
        {
            return id;
        }
    }
}

int deployment::executions(const std::string& id)
{
    int total = 0;
    for (const target_process& each : ledger)
    {
        const json counts = http_get(each.where, "/test/executions").json();
        total += counts["executions"].value("plant/" + id + "/enter", 0);
    }
    return total;
}

int deployment::max_executions()
{
    std::map<std::string, int> totals;
    int max_count = 0;
    for (const target_process& each : ledger)
    {
        const json counts = http_get(each.where, "/test/executions").json();
        for (const auto& [call, count] : counts["executions"].items())
        {
            totals[call] += count.get<int>();
            max_count = std::max(max_count, totals[call]);
        }
    }
    return max_count;
}

http_reply deployment::send(const host& through, const sent_request& request)
{
    const json body = {{"id", request.id},
                       {"issued_at_ms", request.issued_at_ms},
                       {"organisation", "plant"},
                       {"deadline_ms", request.deadline_ms},
                       {"idempotent", request.idempotent},
                       {"first_attempt", request.first_attempt},
                       {"input", {{"text", request.text}}}};
    return http_post(
        through.api, "/v1/pipelines/" + request.pipeline + "/requests", body);
}

std::future<http_reply> deployment::send_async(const host& through,
                                               const sent_request& request)
{
    return std::async(std::launch::async,
                      [&through, request]
                      {
                          return send(through, request);
                      });
}

void deployment::set_store(const json& switches)
{
    CPPUNIT_ASSERT_EQUAL(200,
                         http_post(store_control, "/test/switches", switches).status);
}

std::vector<target_process>& deployment::pool_of(const std::string& pool)
{
    if (pool == "ledger")
    {
        return ledger;
    }
    return pool == "language" ? language : encoders;
}

void deployment::set_pool(const std::string& pool, const json& switches)
{
    for (const target_process& each : pool_of(pool))
    {
        CPPUNIT_ASSERT_EQUAL(200,
                             http_post(each.where, "/test/switches", switches).status);
    }
}

sent_request deployment::new_request(const std::string& id)
{
    sent_request request;
    request.id = id;
    request.issued_at_ms = wall_now_ms();
    return request;
}

std::string outcome_of(const http_reply& reply)
{
    const json body = reply.json();
    return body.is_object() ? body.value("outcome", "") : "";
}

} // namespace medlar::testing
