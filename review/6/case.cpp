// A stage worker sends one of its answers a second time, late. Checks that the model
// worker gets, with each request, the results that were made for that request.

#include "support-2/world.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

namespace
{

using namespace review;

constexpr int batch = 8;
constexpr int call_ms = 150;
constexpr int item_ms = 16;
constexpr int requests = 90;

// somewhat less than the two workers need for a request, so that calls follow each other
constexpr int request_interval_ms = 132;

// the call of the faulty worker that fails, and whose answer is sent twice
constexpr int failing_call = 8;

// at most this share of the faulty worker's answers may be sent twice
constexpr int least_answers = 34;

/// @brief Request and piece for which a result was made.
struct made_for
{
    std::string request;
    int piece = 0;
};

/// @brief All results, by their handles.
class result_list
{
  public:
    void add(const std::string& handle, const made_for& what)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        made_[handle] = what;
    }

    made_for find(const std::string& handle)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = made_.find(handle);
        return found == made_.end() ? made_for{"nobody", -1} : found->second;
    }

  private:
    std::mutex mutex_;
    std::map<std::string, made_for> made_;
};

/// @brief Worker of the stage's service: one call at a time.
class stage_worker
{
  public:
    /// @param is_faulty whether it sends one of its answers a second time
    stage_worker(std::string id, bool is_faulty, result_list& results)
        : id_(std::move(id)),
          is_faulty_(is_faulty),
          results_(results),
          server_({"127.0.0.1", 0},
                  [this](channel& peer)
                  {
                      serve(peer);
                  })
    {
    }

    const address& where() const
    {
        return server_.where();
    }

    const std::string& id() const
    {
        return id_;
    }

    int answers() const
    {
        return answers_;
    }

  private:
    void serve(channel& peer)
    {
        std::string second_answer;
        while (const std::optional<message> request = peer.read_request())
        {
            if (!second_answer.empty())
            {
                record(id_ + ": sends its last answer a second time");
                peer.send(std::exchange(second_answer, {}));
            }
            if (path_of(*request) != "/-/stage-run")
            {
                peer.send(answer_text(200, {}, "{}"));
                continue;
            }
            const bool has_failed = ++calls_ == failing_call && is_faulty_;
            const std::string answer = run(*request, has_failed);
            peer.send(answer);
            ++answers_;
            if (has_failed && has_trouble())
            {
                second_answer = answer;
            }
        }
    }

    std::string run(const message& request, bool has_failed)
    {
        const nlohmann::json items = nlohmann::json::parse(request.body).at("items");
        const std::lock_guard<std::mutex> turn(turn_);
        std::set<std::string> asked;
        for (const nlohmann::json& each : items)
        {
            asked.insert(each.at("id").get<std::string>());
        }
        std::string whose;
        for (const std::string& each : asked)
        {
            whose += " " + each;
        }
        record(id_ + ": " + std::to_string(items.size()) + " pieces for" + whose);
        pause_ms(call_ms + item_ms * static_cast<int>(items.size()));
        nlohmann::json results = nlohmann::json::array();
        for (const nlohmann::json& each : items)
        {
            if (has_failed)
            {
                results.push_back({{"reason", "error"}});
                continue;
            }
            const std::string handle = where().text() + "/" + new_id();
            results_.add(handle,
                         {each.at("id").get<std::string>(), each.at("piece").get<int>()});
            results.push_back({{"handle", handle}});
        }
        record(id_ +
               (has_failed ? ": answers \"error\" for the pieces for"
                           : ": answers with results for") +
               whose);
        return answer_text(200,
                           {{"Content-Type", "application/json"}},
                           nlohmann::json({{"items", results}}).dump());
    }

    std::string id_;
    bool is_faulty_;
    result_list& results_;
    std::mutex turn_;
    std::atomic<int> calls_{0};
    std::atomic<int> answers_{0};
    server server_;
};

/// @brief Model worker: records for whom the inputs of each request were made.
class model_worker
{
  public:
    explicit model_worker(result_list& results)
        : results_(results),
          server_({"127.0.0.1", 0},
                  [this](channel& peer)
                  {
                      serve(peer);
                  })
    {
    }

    const address& where() const
    {
        return server_.where();
    }

    int runs() const
    {
        return runs_;
    }

    int foreign() const
    {
        return foreign_;
    }

  private:
    void serve(channel& peer)
    {
        while (const std::optional<message> request = peer.read_request())
        {
            if (path_of(*request) == "/-/report")
            {
                peer.send(answer_text(200,
                                      {{"Content-Type", "application/json"}},
                                      R"({"stage":"unified","models":[],"busy":false})"));
                continue;
            }
            run(peer, *request);
        }
    }

    void run(channel& peer, const message& request)
    {
        const std::string id = request.get("Attempt-Id");
        std::istringstream inputs(request.get("Inputs"));
        std::string handle;
        std::map<std::string, int> pieces;
        while (std::getline(inputs, handle, ','))
        {
            ++pieces[results_.find(handle).request];
        }
        const bool is_foreign = pieces.size() != 1 || pieces.count(id) == 0;
        std::string whose;
        for (const auto& each : pieces)
        {
            whose += " " + each.first + " (" + std::to_string(each.second) + ")";
        }
        record("i-model: runs " + id + " on results made for" + whose +
               (is_foreign ? "  <- of another request" : ""));
        ++runs_;
        foreign_ += is_foreign ? 1 : 0;
        std::string body;
        for (int i = 1; i <= 3; ++i)
        {
            body += "id: " + std::to_string(i) + "\ndata: token of " + id + "\n\n";
        }
        peer.send(answer_text(200,
                              {{"Content-Type", "text/event-stream"},
                               {"Attempt-Id", id},
                               {"Response-Signature", "s." + id}},
                              body));
    }

    result_list& results_;
    std::atomic<int> runs_{0};
    std::atomic<int> foreign_{0};
    server server_;
};

nlohmann::json configuration()
{
    const nlohmann::json stage{
        {"service", "encoder"}, {"after", nlohmann::json::array()}, {"bytes", 60000}};
    const nlohmann::json route{{"name", "summary"},
                               {"host", "app.example"},
                               {"prefix", "/summary/"},
                               {"kind", "stream"},
                               {"timeout_ms", 8000},
                               {"target_latency_ms", 1500},
                               {"gap_aim_ms", 300},
                               {"priority", 0},
                               {"service", "model"},
                               {"max_attempts", 1},
                               {"stages", nlohmann::json::array({stage})},
                               {"public", false},
                               {"sticky", true},
                               {"resumable", false}};
    const nlohmann::json encoder{{"name", "encoder"},
                                 {"health_path", "/health"},
                                 {"max_conns", 620},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"pieces",
                                  {{"slots", 1},
                                   {"queue", 2},
                                   {"batch", batch},
                                   {"call_ms", call_ms},
                                   {"item_ms", item_ms},
                                   {"headroom_mb", 43.0},
                                   {"handle_s", 4.0},
                                   {"link_mbps", 10000}}}};
    const nlohmann::json model{{"name", "model"},
                               {"health_path", "/health"},
                               {"max_conns", 620},
                               {"protocol", "h1"},
                               {"tls", false}};
    const nlohmann::json tenant{{"name", "tenant-a"},
                                {"api_keys", nlohmann::json::array({"key-a"})}};
    return {{"version", 7},
            {"routes", nlohmann::json::array({route})},
            {"services", nlohmann::json::array({model, encoder})},
            {"limits", usual_limits()},
            {"tenants", nlohmann::json::array({tenant})}};
}

void send_request(const address& front, int number)
{
    const std::string id = new_id();
    record("client: sends " + id);
    const client_answer got =
        exchange(front,
                 request_text("POST /summary/x HTTP/1.1",
                              {{"Host", "app.example"},
                               {"Attempt-Id", id},
                               {"Model", "m"},
                               {"Token-Counts", "1000,30"},
                               {"Prompt-Prefix", "5c1e07a2:800," + id + ":200"},
                               {"Pieces", std::to_string(batch)},
                               {"Piece-Key", new_id()},
                               {"Deadline-Ms", "8000"},
                               {"Authorization", "Bearer key-a"}},
                              "request " + std::to_string(number)),
                 9000);
    record("client: " + id + " got " + std::to_string(got.status) + ", " +
           to_string(got.end));
}

} // namespace

int main(int, char** argv)
{
    open_record(argv[1]);
    store platform("127.0.0.1");
    result_list results;
    stage_worker faulty("i-stage-1", true, results);
    stage_worker sound("i-stage-2", false, results);
    model_worker model(results);
    platform.put("op/config", configuration());
    platform.put("servers/i-model", server_entry("model", model.where(), "zone-a", 64));
    for (const stage_worker* each : {&faulty, &sound})
    {
        platform.put("servers/" + each->id(),
                     server_entry("encoder", each->where(), "zone-a", 1));
    }
    entry_process entry("front-1", "127.0.0.1", free_ports("127.0.0.1", 8), platform);
    entry.start();
    if (!entry.wait_until_ready(15000))
    {
        record("the entry process is not ready");
        finish(verdict::could_not_run);
    }
    std::vector<std::thread> clients;
    for (int i = 0; i < requests; ++i)
    {
        clients.emplace_back(send_request, entry.front(), i);
        pause_ms(request_interval_ms);
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    record(
        "runs at the model worker: " + std::to_string(model.runs()) +
        ", of these on results of another request: " + std::to_string(model.foreign()) +
        "; answers of the faulty worker: " + std::to_string(faulty.answers()));
    if (!entry.is_running() || model.runs() == 0 || faulty.answers() < least_answers)
    {
        finish(verdict::could_not_run);
    }
    finish(model.foreign() > 0 ? verdict::broken : verdict::held);
}
