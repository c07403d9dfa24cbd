#include "streams.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <thread>
#include <utility>

namespace review
{

namespace
{

constexpr int events = 36;
constexpr int event_gap_ms = 220;
constexpr int heartbeat_ms = 1200;

// pause of a client before it connects again
constexpr int reconnect_ms = 100;

// tries of a client to take its stream up
constexpr int most_tries = 3;

// time in which a new stream has to begin
constexpr int first_event_ms = 1500;

/// @brief What a client has seen of a stream.
struct read_stream
{
    int status = 0;
    int last_event = 0;
    bool is_complete = false;
    double retry_after_s = 0;
};

/// @brief Versions of the workers whose events the streams hold.
class version_list
{
  public:
    void add(const std::string& stream, const std::string& version)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        versions_[stream].insert(version);
    }

    int joined()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<int>(std::count_if(versions_.begin(),
                                              versions_.end(),
                                              [](const auto& each)
                                              {
                                                  return each.second.size() > 1;
                                              }));
    }

  private:
    std::mutex mutex_;
    std::map<std::string, std::set<std::string>> versions_;
};

version_list& versions()
{
    static version_list list;
    return list;
}

void read_text(const std::string& text, read_stream& result)
{
    constexpr std::size_t status_at = 9;
    constexpr char retry_name[] = "Retry-After: ";
    if (text.size() > status_at + 3)
    {
        result.status = std::atoi(text.c_str() + status_at);
    }
    const std::size_t retry = text.find(retry_name);
    if (retry != std::string::npos)
    {
        result.retry_after_s = std::atof(text.c_str() + retry + sizeof retry_name - 1);
    }
    // whole events only
    const std::size_t end = text.rfind("\ndata: token\n\n");
    const std::size_t id = end == std::string::npos ? end : text.rfind("id: ", end);
    result.last_event = id == std::string::npos ? 0 : std::atoi(text.c_str() + id + 4);
    result.is_complete = text.find("\r\n0\r\n\r\n") != std::string::npos;
}

read_stream read_events(const channel& connection, std::int64_t leave_at_ms)
{
    constexpr int look_interval_ms = 20;
    read_stream result;
    std::string text;
    std::int64_t last_at = now_ms();
    while (now_ms() - last_at < patience_ms && now_ms() < leave_at_ms)
    {
        std::array<char, 4096> buffer{};
        pollfd watched{connection.descriptor(), POLLIN, 0};
        if (::poll(&watched, 1, look_interval_ms) != 1)
        {
            continue;
        }
        const ssize_t size =
            ::recv(connection.descriptor(), buffer.data(), buffer.size(), 0);
        if (size <= 0)
        {
            break;
        }
        last_at = now_ms();
        text.append(buffer.data(), static_cast<std::size_t>(size));
        read_text(text, result);
        if (result.is_complete || result.status >= 300)
        {
            break;
        }
    }
    return result;
}

std::string stream_request(const std::string& id, const std::string& more, int left_ms)
{
    return "POST /draft/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
           "\r\nModel: m\r\nToken-Counts: 1000,200\r\nPrompt-Prefix: 5c1e07a2:800," +
           new_id().substr(0, 8) + ":200\r\nDeadline-Ms: " + std::to_string(left_ms) +
           "\r\nAuthorization: Bearer key-a\r\n" + more + "Content-Length: 4\r\n\r\nbody";
}

void take_up(const std::string& first,
             const std::vector<address>& others,
             int last_event,
             std::int64_t ends_at_ms,
             stream_totals& seen)
{
    ++seen.taken_up;
    pause_ms(reconnect_ms);
    for (std::size_t i = 0; i < most_tries; ++i)
    {
        const auto left = static_cast<int>(ends_at_ms - now_ms());
        const std::size_t pick = static_cast<unsigned char>(first.back()) + i;
        const address& where = others.at(pick % others.size());
        const std::unique_ptr<channel> connection = channel::connect(where, 1000);
        if (!connection || left <= 0)
        {
            continue;
        }
        const std::string id = new_id();
        connection->send(stream_request(id,
                                        "Resumes: " + first + "\r\nLast-Event-Id: " +
                                            std::to_string(last_event) + "\r\n",
                                        left));
        const read_stream got = read_events(*connection, ends_at_ms);
        record("client: takes up " + first + " after event " +
               std::to_string(last_event) + " as " + id + " at " + where.text() +
               ": status " + std::to_string(got.status) + ", last event " +
               std::to_string(got.last_event) + (got.is_complete ? ", complete" : ""));
        if (got.last_event > last_event)
        {
            ++seen.went_on;
            return;
        }
        constexpr double ms_per_s = 1000;
        pause_ms(std::min(static_cast<int>(got.retry_after_s * ms_per_s), left / 3));
    }
}

} // namespace

model_worker::model_worker(std::string id, std::string service, std::string version)
    : id_(std::move(id)),
      service_(std::move(service)),
      version_(std::move(version)),
      born_(1700000000000 + now_ms()),
      server_({"127.0.0.1", 0},
              [this](channel& peer)
              {
                  serve(peer);
              })
{
}

nlohmann::json model_worker::entry(int sequence)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    nlohmann::json value = server_entry(service_, server_.where(), "zone-a", 64);
    value["version"] = version_;
    value["born"] = born_;
    value["sequence"] = sequence;
    return value;
}

void model_worker::register_at(store& platform)
{
    record("worker " + id_ + " of " + service_ + ", version " + version_ + ": registers");
    platform.put("servers/" + id_, entry(1));
    std::thread(
        [this, &platform]
        {
            for (int sequence = 2;; ++sequence)
            {
                pause_ms(heartbeat_ms);
                bool is_cut = false;
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    is_cut = now_ms() < cut_until_;
                }
                if (!is_cut)
                {
                    platform.put("servers/" + id_, entry(sequence));
                }
            }
        })
        .detach();
}

void model_worker::start_again(const std::string& version, int cut_ms)
{
    record("worker " + id_ + ": starts again as " + version +
           ", and does not reach the store");
    const std::lock_guard<std::mutex> lock(mutex_);
    version_ = version;
    born_ = 1700000000000 + now_ms();
    cut_until_ = now_ms() + cut_ms;
    ++process_;
    for (const int each : connections_)
    {
        ::shutdown(each, SHUT_RDWR);
    }
}

bool model_worker::is_of_process(int number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return process_ == number;
}

int model_worker::joined_streams()
{
    return versions().joined();
}

void model_worker::serve(channel& peer)
{
    int process = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.insert(peer.descriptor());
        process = process_;
    }
    bool is_open = true;
    while (is_open)
    {
        const std::optional<message> request = peer.read_request();
        is_open = request && is_of_process(process);
        if (is_open && path_of(*request) != "/-/report")
        {
            is_open = run(peer, *request, process);
        }
        else if (is_open)
        {
            std::int64_t born = 0;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                born = born_;
            }
            const nlohmann::json report{{"stage", "unified"},
                                        {"models", nlohmann::json::array()},
                                        {"busy", false},
                                        {"born", born}};
            is_open = peer.send(
                answer_text(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(peer.descriptor());
}

bool model_worker::run(channel& peer, const message& request, int process)
{
    const std::string id = request.get("Attempt-Id");
    const std::string first = request.has("Resumes") ? request.get("Resumes") : id;
    const int after =
        request.has("Last-Event-Id") ? std::stoi(request.get("Last-Event-Id")) : 0;
    std::string version;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        version = version_;
    }
    record("worker " + id_ + " (" + version + "): runs " + id + " from event " +
           std::to_string(after + 1));
    bool is_open = peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Attempt-Id: " +
                             id + "\r\nResponse-Signature: s." + id +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = after + 1; i <= events && is_open; ++i)
    {
        const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        is_open = is_of_process(process) && !peer.has_ended() &&
                  peer.send(size.data() + event + "\r\n");
        if (is_open)
        {
            versions().add(first, version);
        }
        pause_ms(event_gap_ms);
    }
    return is_open && peer.send("0\r\n\r\n");
}

void use_stream(const address& where,
                const std::vector<address>& others,
                std::int64_t leave_at_ms,
                stream_totals& seen)
{
    const std::string id = new_id();
    const std::int64_t ends_at = now_ms() + deadline_ms;
    const std::unique_ptr<channel> connection = channel::connect(where, 1000);
    if (!connection)
    {
        record("client: cannot connect");
        return;
    }
    connection->send(stream_request(id, "", deadline_ms));
    const read_stream got = read_events(*connection, leave_at_ms);
    connection->close();
    record("client: " + id + " began at " + where.text() + ", ended after event " +
           std::to_string(got.last_event) + (got.is_complete ? ", complete" : ""));
    if (!got.is_complete && got.last_event > 0)
    {
        take_up(id, others, got.last_event, ends_at, seen);
    }
}

void begin_new_stream(const address& where, stream_totals& seen)
{
    ++seen.asked_new;
    const std::unique_ptr<channel> connection = channel::connect(where, 1000);
    if (connection)
    {
        connection->send(stream_request(new_id(), "", deadline_ms));
        const read_stream got = read_events(*connection, now_ms() + first_event_ms);
        seen.began_new += got.last_event > 0 ? 1 : 0;
    }
}

nlohmann::json
stream_configuration(const std::vector<std::pair<std::string, int>>& services)
{
    nlohmann::json route{{"name", "draft"},
                         {"host", "app.example"},
                         {"prefix", "/draft/"},
                         {"kind", "stream"},
                         {"timeout_ms", deadline_ms},
                         {"target_latency_ms", target_latency_ms},
                         {"gap_aim_ms", gap_aim_ms},
                         {"priority", 0},
                         {"max_attempts", 2},
                         {"public", false},
                         {"sticky", true},
                         {"resumable", true}};
    nlohmann::json listed = nlohmann::json::array();
    for (const auto& each : services)
    {
        if (services.size() == 1)
        {
            route["service"] = each.first;
        }
        else
        {
            route["backends"].push_back(
                {{"service", each.first}, {"weight", each.second}});
        }
        listed.push_back({{"name", each.first},
                          {"health_path", "/health"},
                          {"max_conns", 620},
                          {"protocol", "h1"},
                          {"tls", false}});
    }
    const nlohmann::json tenant{{"name", "tenant-a"},
                                {"api_keys", nlohmann::json::array({"key-a"})}};
    return {{"version", 7},
            {"routes", nlohmann::json::array({route})},
            {"services", listed},
            {"limits", usual_limits()},
            {"tenants", nlohmann::json::array({tenant})}};
}

std::vector<std::unique_ptr<entry_process>> start_entries(int count,
                                                          const store& platform)
{
    constexpr int ports = 8;
    constexpr int ready_timeout_ms = 15000;
    constexpr int acquaintance_ms = 5000;
    const std::uint16_t port = free_ports("127.0.0.1", ports);
    std::vector<std::unique_ptr<entry_process>> entries;
    for (int i = 1; i <= count; ++i)
    {
        entries.push_back(std::make_unique<entry_process>("front-" + std::to_string(i),
                                                          "127.0.0." + std::to_string(i),
                                                          port,
                                                          platform));
        entries.back()->start();
    }
    for (const auto& each : entries)
    {
        if (!each->wait_until_ready(ready_timeout_ms))
        {
            record(each->name() + " is not ready");
            finish(verdict::could_not_run);
        }
    }
    pause_ms(acquaintance_ms);
    return entries;
}

void finish_with(const stream_totals& seen, int least)
{
    record("taken up " + std::to_string(seen.taken_up) + ", of these went on " +
           std::to_string(seen.went_on) + "; new streams " +
           std::to_string(seen.asked_new) + ", of these began " +
           std::to_string(seen.began_new));
    if (seen.asked_new == 0 || (has_trouble() && seen.taken_up < least))
    {
        finish(verdict::could_not_run);
    }
    if (seen.taken_up < least)
    {
        finish(verdict::held);
    }
    const double on = static_cast<double>(seen.went_on) / seen.taken_up;
    const double begun = static_cast<double>(seen.began_new) / seen.asked_new;
    finish(on < begun / 2 ? verdict::broken : verdict::held);
}

} // namespace review
