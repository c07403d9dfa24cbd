#include <medlar/detail/config/json.hpp>
#include <medlar/detail/policy/policy_engine.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

// Measures the CPU time and memory of a gateway's policy decisions by size of the
// document. Prints one line per measurement:
//   routing targets=N choose_us=... kb=...
//   admission organisations=N admit_us=...
//   document targets=N organisations=N bytes=... parse_ms=... configure_ms=...

namespace
{

using namespace medlar;

constexpr int rounds = 20000;
constexpr std::int64_t kib_per_page = 4;

std::int64_t resident_kb()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * kib_per_page;
}

/// @brief mean duration of a call of @p work over @p times calls, in microseconds
template <typename Work>
double mean_microseconds(int times, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i)
    {
        work(i);
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

pool pool_of(const std::string& name, int targets)
{
    pool made;
    made.name = pool_id(name);
    made.reports_load = true;
    made.model = model_id("m");
    for (int i = 0; i < targets; ++i)
    {
        target one;
        one.name = target_id(name + "-" + std::to_string(i));
        one.address = "10.0.0.1";
        one.port = static_cast<std::uint16_t>(1000 + i);
        one.failure_domain = failure_domain_id("d" + std::to_string(i % 9));
        made.targets.push_back(one);
    }
    return made;
}

document document_of(int targets, int organisations)
{
    document made;
    made.pools.push_back(pool_of("language", targets));
    pipeline one;
    one.name = pipeline_id("draft");
    for (const char* name : {"a", "b", "c"})
    {
        stage step;
        step.name = name;
        step.kind = stage_kind::generate;
        step.pool = pool_id("language");
        step.max_tokens = token_count(64);
        one.stages.push_back(step);
    }
    made.pipelines.push_back(one);
    for (int i = 0; i < organisations; ++i)
    {
        organisation added;
        added.name = organisation_id("o" + std::to_string(i));
        made.organisations.push_back(added);
    }
    return made;
}

policy_settings settings()
{
    policy_settings made;
    made.self = host_id("h1");
    made.failure_domain = failure_domain_id("d1");
    made.gateways = 8;
    return made;
}

void measure_routing(int targets)
{
    const std::int64_t before = resident_kb();
    const auto engine = policy_engine::create(settings());
    engine->configure(document_of(targets, 5));
    stage_call call;
    call.pool = pool_id("language");
    call.kind = stage_kind::generate;
    call.size.input = byte_count(2000);
    call.size.max_tokens = token_count(64);
    const double choose_us =
        mean_microseconds(rounds,
                          [&](int i)
                          {
                              const steady_time now(1000000 + i);
                              call.prefix_hash = static_cast<std::uint64_t>(i % 1000 + 1);
                              call.deadline = now + millis(10000);
                              const std::optional<target> chosen =
                                  engine->choose(call, now);
                              call_observation observation;
                              observation.target_name = chosen->name;
                              observation.pool = call.pool;
                              observation.kind = call.kind;
                              observation.size = call.size;
                              observation.elapsed = millis(100);
                              observation.tokens_written = token_count(64);
                              observation.prefix_hash = call.prefix_hash;
                              engine->observe(observation, now);
                          });
    std::printf("routing targets=%d choose_us=%.2f kb=%lld\n",
                targets,
                choose_us,
                static_cast<long long>(resident_kb() - before));
}

void measure_admission(int organisations)
{
    const auto engine = policy_engine::create(settings());
    engine->configure(document_of(20, organisations));
    const double admit_us = mean_microseconds(
        rounds,
        [&](int i)
        {
            const steady_time now(1000000 + i);
            arrival what;
            what.pipeline = pipeline_id("draft");
            what.organisation = organisation_id("o" + std::to_string(i % organisations));
            what.size.input = byte_count(2000);
            what.size.max_tokens = token_count(64);
            what.deadline = now + millis(10000);
            const auto ticket = std::uint64_t{1} + static_cast<std::uint64_t>(i);
            engine->admit(ticket, what, now);
            engine->finish(ticket, now);
        });
    std::printf("admission organisations=%d admit_us=%.2f\n", organisations, admit_us);
}

void measure_document(int targets, int organisations)
{
    constexpr int times = 20;
    const std::string text = write_document(document_of(targets, organisations));
    const double parse_us = mean_microseconds(times,
                                              [&text](int)
                                              {
                                                  parse_document(text).IgnoreError();
                                              });
    const document content = document_of(targets, organisations);
    const auto engine = policy_engine::create(settings());
    const double configure_us = mean_microseconds(times,
                                                  [&](int)
                                                  {
                                                      engine->configure(content);
                                                  });
    constexpr double us_per_ms = 1000;
    std::printf("document targets=%d organisations=%d bytes=%zu parse_ms=%.2f "
                "configure_ms=%.2f\n",
                targets,
                organisations,
                text.size(),
                parse_us / us_per_ms,
                configure_us / us_per_ms);
}

} // namespace

int main()
{
    for (const int targets : {10, 50, 200, 430, 860})
    {
        measure_routing(targets);
    }
    for (const int organisations : {5, 50, 200, 830})
    {
        measure_admission(organisations);
    }
    measure_document(10, 5);
    measure_document(200, 200);
    measure_document(860, 830);
    return 0;
}
