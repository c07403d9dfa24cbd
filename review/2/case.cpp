// The connection to a worker goes silent in the middle of an answer without a length. Is
// the part of the answer passed on as if it were whole?

#include "support/deployment.hpp"

#include <iostream>
#include <thread>

namespace
{

using namespace review;

// Over loopback the kernel answers for a process that is silent. A connection times out
// there only if bytes are left that the peer does not take, so requests have long bodies.
constexpr std::size_t body_bytes = 600000;

// the buffer of a worker for received bytes
constexpr int receive_buffer = 32768;

constexpr int event_count = 6;
constexpr int events_before_silence = 3;

// a sound worker may be silent for a second
constexpr milliseconds pause{700};

constexpr int request_count = 4;

std::string answer_body()
{
    std::string body;
    for (int i = 1; i <= event_count; ++i)
    {
        body += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
    }
    return body;
}

/// Answers as soon as it has a part of the request, with an answer that ends with its
/// connection.
class worker
{
  public:
    worker(recorder& record, std::string id) : record_(record), id_(std::move(id))
    {
        listener_ = listen_at_free_port(port_, receive_buffer);
        std::thread(
            [this]
            {
                while (true)
                {
                    const int accepted = accept_connection(listener_);
                    std::thread(
                        [this, accepted]
                        {
                            serve(accepted);
                        })
                        .detach();
                }
            })
            .detach();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

  private:
    void serve(int accepted)
    {
        http_connection connection(accepted);
        http_message request;
        if (!connection.read_answer_head(request))
        {
            return;
        }
        const std::string attempt = request.header("Attempt-Id");
        const std::string whole = answer_body();
        const std::string last_event = "id: " + std::to_string(events_before_silence + 1);
        const std::size_t part = whole.find(last_event);
        record_.write(id_ + " runs " + attempt + ", answers without a length");
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                         "\r\nResponse-Signature: " + id_ + "." + attempt +
                         "\r\nContent-Type: text/event-stream\r\n\r\n" +
                         whole.substr(0, part));
        record_.write(id_ + " has sent " + std::to_string(part) + " of " +
                      std::to_string(whole.size()) + " bytes for " + attempt);
        if (has_trouble())
        {
            record_.write("the connection of " + attempt + " goes silent for good");
            std::this_thread::sleep_for(std::chrono::minutes(10));
        }
        std::this_thread::sleep_for(pause);
        connection.read_answer_body(request);
        connection.write(whole.substr(part));
        record_.write(id_ + " has sent the whole answer for " + attempt +
                      ", ends the connection");
    }

    recorder& record_;
    std::string id_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
};

/// Sends a request.
/// @return whether a part of the answer looks like the whole
bool send_request(recorder& record,
                  std::uint16_t port,
                  const std::string& path,
                  const std::string& attempt)
{
    http_connection connection(http_connection::connect_to(port));
    connection.set_timeout(milliseconds(12000));
    record.write("client sends " + attempt + ", " + path);
    connection.write("POST " + path +
                     " HTTP/1.1\r\nHost: register.example\r\nAttempt-Id: " + attempt +
                     "\r\nDeadline-Ms: 12000\r\nModel: m\r\nToken-Counts: 100,10\r\n"
                     "Prompt-Prefix: own" +
                     attempt + ":100\r\nContent-Length: " + std::to_string(body_bytes) +
                     "\r\n\r\n" + std::string(body_bytes, 'b'));
    http_message answer;
    if (connection.read_answer_head(answer))
    {
        connection.read_answer_body(answer);
    }
    const bool is_success = answer.status() == 200 && answer.is_complete &&
                            !answer.header("Response-Signature").empty();
    const bool is_part = is_success && answer.body != answer_body();
    record.write("client gets " + answer.second + " for " + attempt + ", signature '" +
                 answer.header("Response-Signature") + "', " +
                 (answer.is_complete ? "complete, " : "not complete, ") +
                 std::to_string(answer.body.size()) + " bytes" +
                 (is_part ? "  <-- NOT THE WORKER'S WHOLE BODY" : ""));
    return is_part;
}

void run()
{
    recorder record("review/2/record.txt");
    const std::string directory = temporary_folder();
    store platform;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < 3; ++i)
    {
        const std::string zone = "zone" + std::to_string(i);
        const std::string id = "w" + std::to_string(i);
        workers.push_back(std::make_unique<worker>(record, id));
        platform.put("servers/" + id,
                     server_entry("llm", workers.back()->address(), zone, 64));
        machines.push_back(
            std::make_unique<machine>(zone + "-1", zone, directory, platform.address()));
    }
    nlohmann::json note = route("note", "stream", "llm", 1, 12000);
    note["gap_aim_ms"] = 400;
    platform.put("op/config",
                 configuration({note, route("export", "non_idempotent", "llm", 1, 12000)},
                               {{{"name", "llm"}, {"max_conns", 370}}}));
    if (!start_machines(machines))
    {
        end_case(machines, could_not_run);
    }
    std::this_thread::sleep_for(milliseconds(3500));
    std::vector<int> parts(2 * request_count, 0);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        clients.emplace_back(
            [&record, &parts, &machines, i]
            {
                parts[i] = send_request(record,
                                        machines[i % machines.size()]->front_port(),
                                        i % 2 == 0 ? "/note/x" : "/export/x",
                                        "a" + std::to_string(i))
                               ? 1
                               : 0;
            });
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    int broken = 0;
    for (const int each : parts)
    {
        broken += each;
    }
    record.write("parts passed on as whole answers: " + std::to_string(broken));
    std::cout << "parts passed on as whole answers: " << broken << " of " << parts.size()
              << '\n';
    end_case(machines, broken > 0 ? rule_broken : rule_held);
}

} // namespace

int main()
{
    return run_case(run);
}
