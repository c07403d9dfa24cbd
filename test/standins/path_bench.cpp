#include <medlar/detail/settings/settings.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(gateway, "", "address of a gateway with the pipeline 'path'");
DEFINE_string(engine, "", "address of the engine of the pipeline");
DEFINE_string(plain, "", "address of the plain service of the pipeline");
DEFINE_int32(gateway_pid, 0, "process id of the gateway");
DEFINE_int32(streams, 1, "number of concurrent streams");
DEFINE_int32(rounds, 50, "number of requests per stream");

namespace
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr double us_per_ms = 1000;
constexpr double ms_per_second = 1000;

/// @brief Keep-alive connection that sends one request at a time.
class connection
{
  public:
    explicit connection(const medlar::endpoint& to) : session_(connect(to))
    {
        session_.setKeepAlive(true);
    }

    std::string post(const std::string& path, const json& body)
    {
        const std::string text = body.dump();
        Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(text.size()));
        session_.sendRequest(request) << text;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session_.receiveResponse(response), answer);
        return answer;
    }

  private:
    static Poco::Net::StreamSocket connect(const medlar::endpoint& to)
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(to.address, to.port));
        socket.setNoDelay(true);
        return socket;
    }

    Poco::Net::HTTPClientSession session_;
};

/// @brief Latency, processor time per request and failures of a series of requests.
struct measurement
{
    double p50_ms = 0;
    double p95_ms = 0;
    double cpu_ms = 0;
    int failed = 0;
};

json stage_body(const std::string& id, const std::string& kind, const json& input)
{
    return {{"request_id", "bench/" + id},
            {"call_id", "bench/" + id + "/" + kind},
            {"kind", kind},
            {"input", input},
            {"max_tokens", 16}};
}

/// @brief Calls the plain service and returns the output of the stage.
json call_plain(connection& plain,
                const std::string& id,
                const std::string& kind,
                const json& input)
{
    const std::string text = plain.post("/v1/stage", stage_body(id, kind, input));
    return json::parse(text)["output"];
}

/// @brief Makes the three stage calls of one request without a gateway.
/// @return whether the request succeeded
bool send_directly(connection& plain, connection& engine, const std::string& id)
{
    const json encoded = call_plain(plain, id, "encode", std::string(2000, 'x'));
    const json retrieved = call_plain(plain, id, "retrieve", {{"encode", encoded}});
    const std::string text =
        engine.post("/v1/stage", stage_body(id, "generate", {{"retrieve", retrieved}}));
    return text.find("\"done\":true") != std::string::npos;
}

bool send_through_gateway(connection& gateway, const std::string& id)
{
    const json body = {{"id", id},
                       {"organisation", "bench"},
                       {"idempotent", true},
                       {"stream", true},
                       {"input", std::string(2000, 'x')}};
    const std::string text = gateway.post("/v1/pipelines/path/requests", body);
    return text.find("\"outcome\":\"answered\"") != std::string::npos;
}

/// @brief Returns the processor time of this process in milliseconds.
double own_cpu_ms()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto ms = [](const timeval& t)
    {
        return static_cast<double>(t.tv_sec) * ms_per_second +
               static_cast<double>(t.tv_usec) / us_per_ms;
    };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

/// @brief Returns the processor time of the gateway in milliseconds.
double gateway_cpu_ms()
{
    std::ifstream file("/proc/" + std::to_string(FLAGS_gateway_pid) + "/stat");
    std::string word;
    constexpr int fields_before_utime = 13;
    for (int i = 0; i < fields_before_utime; ++i)
    {
        file >> word;
    }
    double user = 0;
    double system = 0;
    file >> user >> system;
    return (user + system) * ms_per_second / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @brief Returns the resident memory of the gateway in KB.
long gateway_rss_kb()
{
    std::ifstream file("/proc/" + std::to_string(FLAGS_gateway_pid) + "/status");
    std::string word;
    long kb = 0;
    while (file >> word)
    {
        if (word == "VmRSS:")
        {
            file >> kb;
            return kb;
        }
    }
    return 0;
}

/// @brief Sends one request of a stream and returns whether it succeeded; each stream has
/// its own connections.
using request_function = std::function<bool(const std::string& id)>;

measurement measure(const std::string& name,
                    const std::function<request_function()>& make_stream,
                    const std::function<double()>& cpu_ms)
{
    std::vector<std::vector<double>> times(static_cast<std::size_t>(FLAGS_streams));
    std::vector<int> failed(times.size(), 0);
    const double cpu_before = cpu_ms();
    std::vector<std::thread> threads;
    for (std::size_t s = 0; s < times.size(); ++s)
    {
        threads.emplace_back(
            [&, s]
            {
                const request_function request = make_stream();
                for (int i = 0; i < FLAGS_rounds; ++i)
                {
                    const auto start = steady::now();
                    const std::string id =
                        name + std::to_string(s) + "-" + std::to_string(i);
                    failed[s] += request(id) ? 0 : 1;
                    const std::chrono::duration<double, std::milli> took =
                        steady::now() - start;
                    times[s].push_back(took.count());
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    std::vector<double> all;
    measurement result;
    for (std::size_t s = 0; s < times.size(); ++s)
    {
        all.insert(all.end(), times[s].begin(), times[s].end());
        result.failed += failed[s];
    }
    std::sort(all.begin(), all.end());
    result.p50_ms = all[all.size() / 2];
    result.p95_ms = all[all.size() * 95 / 100];
    result.cpu_ms = (cpu_ms() - cpu_before) / static_cast<double>(all.size());
    return result;
}

} // namespace

/// Compares the same requests sent directly to the targets and through a gateway.
int main(int argc, char** argv)
{
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    const auto gateway = medlar::parse_endpoint(FLAGS_gateway);
    const auto engine = medlar::parse_endpoint(FLAGS_engine);
    const auto plain = medlar::parse_endpoint(FLAGS_plain);
    if (!loaded.ok() || !gateway.ok() || !engine.ok() || !plain.ok())
    {
        std::cerr << "path-bench: missing or invalid flag" << std::endl;
        return 2;
    }
    const auto direct_stream = [&]() -> request_function
    {
        const auto to_plain = std::make_shared<connection>(*plain);
        const auto to_engine = std::make_shared<connection>(*engine);
        return [to_plain, to_engine](const std::string& id)
        {
            return send_directly(*to_plain, *to_engine, id);
        };
    };
    const auto gateway_stream = [&]() -> request_function
    {
        const auto to_gateway = std::make_shared<connection>(*gateway);
        return [to_gateway](const std::string& id)
        {
            return send_through_gateway(*to_gateway, id);
        };
    };
    const long rss_before = gateway_rss_kb();
    const measurement direct = measure("d", direct_stream, own_cpu_ms);
    const measurement through = measure("g", gateway_stream, gateway_cpu_ms);
    const long rss_after = gateway_rss_kb();
    std::cout << "streams " << FLAGS_streams << ": p50 " << direct.p50_ms
              << " ms directly, " << through.p50_ms << " ms through, ratio "
              << through.p50_ms / direct.p50_ms << "; p95 ratio "
              << through.p95_ms / direct.p95_ms << "; processor " << through.cpu_ms
              << " ms a request in the gateway, " << direct.cpu_ms
              << " ms in a direct caller, ratio " << through.cpu_ms / direct.cpu_ms
              << "; memory " << (rss_after - rss_before) / FLAGS_streams
              << " KB a stream; failed " << direct.failed + through.failed << std::endl;
    return direct.failed + through.failed == 0 ? 0 : 1;
}
