#include <medlar/detail/hosts/crash_controller.hpp>
#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlar
{

namespace
{

// hosts that collect the reports: one may be down while the other one judges
constexpr std::size_t judge_count = 2;

// placement of the judges: different from that of any pool's pieces
constexpr char judge_group_name[] = "crashes of targets";

// the other calls to a target that crashes end within this time, and its listener closes
constexpr millis settle_time{10};

// other hosts that are asked whether they reach a target: of so many, one has a path if
// half of all hosts have
constexpr std::size_t max_asked_hosts = 8;

// time for all hosts to answer a question; they are some ms apart
constexpr millis question_time{250};

// a host that has started knows the other hosts after this time, and can judge
constexpr millis start_time{1500};

// a blocked suspect is tried again after this time, the longest one for which the store
// keeps a lease
constexpr millis block_time{600000};

// how often what is blocked is compared with the mirror of the store
constexpr millis check_interval{1000};

// what a host has written is in the mirrors of all hosts after this time
constexpr millis mirror_time{2000};

// own crashes that are reported again with each new one, so that a judge that has just
// become one knows them
constexpr std::size_t max_own_crashes = 16;
constexpr millis max_report_age{60000};

// requests of one host in a crash; targets have up to 128 slots
constexpr std::size_t max_requests_per_crash = 128;

// ended blocks that are remembered, so that their items in the store block nothing again
constexpr std::size_t max_ended_blocks = 4096;

// what is remembered to be harmless, and for how long if there is more
constexpr std::size_t max_harmless = 8192;
constexpr millis max_harmless_age{60000};

/// Reads numbers from a field of a message; hosts of earlier builds state none.
std::set<std::uint64_t> read_numbers(const nlohmann::json& message, const char* field)
{
    const auto found = message.find(field);
    return found == message.end() ? std::set<std::uint64_t>()
                                  : found->get<std::set<std::uint64_t>>();
}

nlohmann::json to_json(const prompt_suspects& prompt)
{
    nlohmann::json keys = nlohmann::json::array();
    for (const crash_suspect each : prompt)
    {
        keys.push_back(each.get());
    }
    return keys;
}

prompt_suspects read_prompt(const nlohmann::json& message)
{
    prompt_suspects keys;
    for (const nlohmann::json& each : message)
    {
        keys.emplace_back(each.get<std::uint64_t>());
    }
    return keys;
}

nlohmann::json to_json(const target_crash& crash, steady_time now)
{
    nlohmann::json prompts = nlohmann::json::array();
    for (const prompt_suspects& prompt : crash.prompts)
    {
        prompts.push_back(to_json(prompt));
    }
    nlohmann::json requests = nlohmann::json::array();
    for (const auto& [suspect, request] : crash.requests)
    {
        requests.push_back(
            {suspect.get(), (now - request.sent_at).count(), to_json(request.prompt)});
    }
    return {{"target", crash.target.get()},
            {"started_ms", crash.started_ms},
            {"numbers", crash.numbers},
            {"address", crash.address.address},
            {"port", crash.address.port},
            {"age_ms", (now - crash.at).count()},
            {"prompts", std::move(prompts)},
            {"requests", std::move(requests)}};
}

target_crash read_crash(const nlohmann::json& message, steady_time now)
{
    target_crash crash;
    crash.target = target_id(message.at("target").get<std::string>());
    crash.started_ms = message.at("started_ms").get<std::int64_t>();
    crash.numbers = read_numbers(message, "numbers");
    crash.address = {message.at("address").get<std::string>(),
                     message.at("port").get<std::uint16_t>()};
    crash.at = now - std::max(millis(0), read_span(message, "age_ms"));
    for (const nlohmann::json& prompt : message.at("prompts"))
    {
        crash.prompts.insert(read_prompt(prompt));
    }
    for (const nlohmann::json& each : message.at("requests"))
    {
        const millis age = std::max(millis(0), read_span(each.at(1)));
        crash.requests.emplace(crash_suspect(each.at(0).get<std::uint64_t>()),
                               request_at_crash{now - age, read_prompt(each.at(2))});
    }
    return crash;
}

crash_suspect read_suspect(const nlohmann::json& message)
{
    return crash_suspect(message.at("suspect").get<std::uint64_t>());
}

/// Reads the numbers of blocks from a message.
std::set<std::uint64_t> read_blocks(const nlohmann::json& message)
{
    return read_numbers(message, "blocks");
}

/// Reads the number of a block from its item; 0 if a host of an earlier build wrote it.
std::uint64_t read_item_block(const std::string& value)
{
    std::uint64_t number = 0;
    const std::size_t separator = value.rfind(' ');
    return separator != std::string::npos &&
                   absl::SimpleAtoi(value.substr(separator + 1), &number)
               ? number
               : 0;
}

std::string hex_text(crash_suspect suspect)
{
    return absl::StrCat(absl::Hex(suspect.get(), absl::kZeroPad16));
}

} // namespace

crash_controller::crash_controller(entry_context& context,
                                   peer_network& peers,
                                   store_controller& store)
    : context_(context),
      peers_(peers),
      store_(store),
      may_judge_from_(context.loop.now() + start_time)
{
    context_.loop.after(start_time,
                        [this]
                        {
                            consider_suspects();
                        });
    check_items();
}

void crash_controller::record_broken_call(const target_record& target,
                                          std::int64_t started_ms,
                                          const request_suspects& request,
                                          steady_time sent_at,
                                          bool has_begun)
{
    const process_start process{target.id, started_ms};
    const auto [check, is_new] = checks_.try_emplace(process);
    pending_check& pending = check->second;
    if (is_new)
    {
        pending.crash.target = target.id;
        pending.crash.started_ms = started_ms;
        pending.crash.address = target.address;
        pending.crash.at = context_.loop.now();
        pending.pool = target.pool;
        pending.probe =
            std::make_unique<connection_probe>(context_.loop,
                                               target.address,
                                               settle_time,
                                               [this, process](probe_result result)
                                               {
                                                   // a target that resets single
                                                   // connections accepts new ones
                                                   if (result == probe_result::refused)
                                                   {
                                                       ask_whether_reached(process);
                                                   }
                                                   else
                                                   {
                                                       end_check(process, false);
                                                   }
                                               });
    }
    if (pending.crash.requests.size() >= max_requests_per_crash)
    {
        return;
    }
    steady_time& first =
        pending.crash.requests
            .try_emplace(request.request, request_at_crash{sent_at, request.prompt})
            .first->second.sent_at;
    first = std::min(first, sent_at);
    if (!request.prompt.empty() && !has_begun)
    {
        pending.crash.prompts.insert(request.prompt);
    }
}

void crash_controller::ask_whether_reached(const process_start& process)
{
    pending_check& pending = checks_.at(process);
    const std::vector<peer_host> others = peers_.live_peers();
    const std::size_t asked = std::min(others.size(), max_asked_hosts);
    if (asked == 0)
    {
        end_check(process, true);
        return;
    }
    pending.open_answers = asked;
    pending.timeout = context_.loop.after(question_time,
                                          [this, process]
                                          {
                                              end_check(process, true);
                                          });
    const endpoint where = pending.crash.address;
    const std::uint64_t first = context_.random.next();
    for (std::size_t i = 0; i < asked; ++i)
    {
        // a host that cannot be told does not answer, which the timeout handles
        peers_.send(others[(first + i) % others.size()].id,
                    {{"type", "reached?"},
                     {"target", process.target.get()},
                     {"address", where.address},
                     {"port", where.port}});
    }
}

void crash_controller::answer_whether_reached(const std::shared_ptr<message_link>& from,
                                              const nlohmann::json& message)
{
    const endpoint where{message.at("address").get<std::string>(),
                         message.at("port").get<std::uint16_t>()};
    const auto target = message.at("target").get<std::string>();
    const std::uint64_t number = ++last_probe_;
    asked_probes_[number] = std::make_unique<connection_probe>(
        context_.loop,
        where,
        millis(0),
        [this, number, from, target](probe_result result)
        {
            from->send({{"type", "reached"},
                        {"target", target},
                        {"is_reached", result == probe_result::connected}});
            asked_probes_.erase(number);
        });
}

void crash_controller::handle_whether_reached(const nlohmann::json& message)
{
    const target_id target(message.at("target").get<std::string>());
    const bool is_reached = message.at("is_reached").get<bool>();
    // an answer is about the address, and holds for each process that was there
    std::vector<process_start> asked;
    for (const auto& each : checks_)
    {
        if (each.first.target == target && each.second.open_answers > 0)
        {
            asked.push_back(each.first);
        }
    }
    for (const process_start& each : asked)
    {
        pending_check& pending = checks_.at(each);
        --pending.open_answers;
        if (is_reached)
        {
            log_event(entry_crash_refuted,
                      {{"target", target.get()},
                       {"pool", pending.pool.get()},
                       {"address", to_string(pending.crash.address)}});
            end_check(each, false);
        }
        else if (pending.open_answers == 0)
        {
            end_check(each, true);
        }
    }
}

void crash_controller::end_check(const process_start& process, bool has_crashed)
{
    const auto found = checks_.find(process);
    target_crash crash = std::move(found->second.crash);
    const pool_id pool = found->second.pool;
    context_.loop.cancel(found->second.timeout);
    checks_.erase(found);
    if (!has_crashed)
    {
        return;
    }
    log_event(entry_target_crashed,
              {{"target", crash.target.get()},
               {"started_ms", crash.started_ms},
               {"pool", pool.get()},
               {"address", to_string(crash.address)},
               {"requests", static_cast<std::int64_t>(crash.requests.size())},
               {"prompts_not_begun", static_cast<std::int64_t>(crash.prompts.size())}});
    context_.metrics->add("medlar_target_crashes_total", {{"pool", pool.get()}});
    crash.numbers.insert(context_.random.next());
    own_crashes_.push_back(std::move(crash));
    report_crashes();
}

std::vector<host_id> crash_controller::judges() const
{
    std::vector<host_id> ranked =
        rank_owners({pool_id(judge_group_name), {}}, peers_.live_hosts());
    ranked.resize(std::min(ranked.size(), judge_count));
    return ranked;
}

bool crash_controller::is_judge() const
{
    const std::vector<host_id> chosen = judges();
    return std::find(chosen.begin(), chosen.end(), peers_.self().id) != chosen.end();
}

void crash_controller::drop_old_crashes()
{
    while (!own_crashes_.empty() &&
           (own_crashes_.size() > max_own_crashes ||
            own_crashes_.front().at + max_report_age < context_.loop.now()))
    {
        own_crashes_.pop_front();
    }
}

void crash_controller::report_crashes()
{
    drop_old_crashes();
    nlohmann::json crashes = nlohmann::json::array();
    for (const target_crash& each : own_crashes_)
    {
        crashes.push_back(to_json(each, context_.loop.now()));
    }
    const nlohmann::json message{{"type", "crashes"}, {"crashes", std::move(crashes)}};
    for (const host_id& each : judges())
    {
        if (each == peers_.self().id)
        {
            handle_reports(message);
        }
        else
        {
            peers_.send(each, message);
        }
    }
}

void crash_controller::handle_peer_lost()
{
    // the host may be a judge that has not got the last report
    if (!own_crashes_.empty())
    {
        report_crashes();
    }
}

void crash_controller::handle_reports(const nlohmann::json& message)
{
    std::vector<target_crash> crashes;
    for (const nlohmann::json& each : message.at("crashes"))
    {
        crashes.push_back(read_crash(each, context_.loop.now()));
    }
    for (const target_crash& each : crashes)
    {
        evidence_.record_crash(each);
    }
    has_new_report_ = true;
    consider_suspects();
}

void crash_controller::send_to_all(const nlohmann::json& message)
{
    for (const peer_host& each : peers_.live_hosts())
    {
        peers_.send(each.id, message);
    }
}

void crash_controller::consider_suspects()
{
    if (!asked_.empty() || context_.loop.now() < may_judge_from_)
    {
        return;
    }
    const std::map<crash_suspect, steady_time> found = evidence_.suspects();
    const bool has_new_one = std::any_of(found.begin(),
                                         found.end(),
                                         [this](const auto& each)
                                         {
                                             return !is_blocked(each.first);
                                         });
    if (!has_new_one)
    {
        return;
    }
    has_new_report_ = false;
    nlohmann::json suspects = nlohmann::json::array();
    for (const auto& each : found)
    {
        asked_.insert(each.first);
        suspects.push_back({{"suspect", each.first.get()},
                            {"since_ms", (context_.loop.now() - each.second).count()}});
    }
    send_to_all({{"type", "harmless?"}, {"suspects", std::move(suspects)}});
    context_.loop.after(question_time,
                        [this]
                        {
                            judge();
                        });
}

void crash_controller::answer_question(const std::shared_ptr<message_link>& from,
                                       const nlohmann::json& message)
{
    const steady_time now = context_.loop.now();
    nlohmann::json harmless = nlohmann::json::array();
    for (const nlohmann::json& each : message.at("suspects"))
    {
        // before the crashes, too: what was harmless just before needs more of them
        const auto found = harmless_at_.find(read_suspect(each));
        if (found != harmless_at_.end())
        {
            harmless.push_back({{"suspect", found->first.get()},
                                {"age_ms", (now - found->second).count()}});
        }
    }
    from->send({{"type", "harmless_since"}, {"suspects", std::move(harmless)}});
}

void crash_controller::judge()
{
    const std::set<crash_suspect> asked = std::move(asked_);
    asked_.clear();
    for (const crash_suspect each : asked)
    {
        const auto harmless = harmless_at_.find(each);
        if (harmless != harmless_at_.end())
        {
            evidence_.record_harmless(each, harmless->second);
        }
    }
    for (const crash_suspect each : evidence_.culprits())
    {
        if (asked.count(each) > 0 && !is_blocked(each))
        {
            block(each);
        }
    }
    if (has_new_report_)
    {
        consider_suspects();
    }
}

void crash_controller::acquit(crash_suspect suspect, steady_time at)
{
    const bool was_accusable = evidence_.is_accusable(suspect);
    evidence_.record_harmless(suspect, at);
    if (was_accusable && !evidence_.is_accusable(suspect))
    {
        unblock_everywhere(suspect);
    }
}

std::optional<nlohmann::json>
crash_controller::write_harmless_since(crash_suspect suspect) const
{
    const auto found = harmless_at_.find(suspect);
    if (found == harmless_at_.end())
    {
        return std::nullopt;
    }
    const millis age = context_.loop.now() - found->second;
    return nlohmann::json{
        {"type", "harmless_since"},
        {"suspects", {{{"suspect", suspect.get()}, {"age_ms", age.count()}}}}};
}

void crash_controller::tell_judges_harmless(crash_suspect suspect)
{
    const std::optional<nlohmann::json> known = write_harmless_since(suspect);
    if (!known)
    {
        return;
    }
    for (const host_id& each : judges())
    {
        if (each == peers_.self().id)
        {
            acquit(suspect, harmless_at_.at(suspect));
        }
        else
        {
            peers_.send(each, *known);
        }
    }
}

bool crash_controller::is_blocked(crash_suspect suspect) const
{
    const auto found = blocks_.find(suspect);
    return found != blocks_.end() && found->second.until > context_.loop.now();
}

void crash_controller::block(crash_suspect suspect)
{
    const std::set<std::uint64_t> numbers{context_.random.next()};
    record_blocked(suspect, context_.loop.now() + block_time, numbers);
    send_to_all({{"type", "blocked"},
                 {"suspect", suspect.get()},
                 {"left_ms", block_time.count()},
                 {"blocks", numbers}});
    write_item(suspect);
}

void crash_controller::record_blocked(crash_suspect suspect,
                                      steady_time until,
                                      const std::set<std::uint64_t>& numbers)
{
    block_state& known = blocks_[suspect];
    if (known.until <= context_.loop.now())
    {
        known = {};
        known.written_at = context_.loop.now();
        log_event(entry_suspect_blocked,
                  {{"suspect", hex_text(suspect)},
                   {"left_ms", (until - context_.loop.now()).count()}});
    }
    known.until = std::max(known.until, until);
    known.numbers.insert(numbers.begin(), numbers.end());
}

void crash_controller::write_item(crash_suspect suspect)
{
    block_state& known = blocks_.at(suspect);
    known.written_at = context_.loop.now();
    const std::uint64_t number = known.numbers.empty() ? 0 : *known.numbers.rbegin();
    store_.write_item(item_key(suspect),
                      absl::StrCat(peers_.self().id.get(), " ", number),
                      known.until - context_.loop.now(),
                      [this, suspect]
                      {
                          return is_blocked(suspect);
                      });
}

void crash_controller::record_harmless(crash_suspect suspect,
                                       const std::set<std::uint64_t>& numbers)
{
    evidence_.record_harmless(suspect, context_.loop.now());
    const steady_time until = context_.loop.now() + block_time;
    for (const std::uint64_t each : numbers)
    {
        ended_blocks_[each] = until;
    }
    const auto found = blocks_.find(suspect);
    if (found == blocks_.end())
    {
        return;
    }
    for (const std::uint64_t each : found->second.numbers)
    {
        ended_blocks_[each] = until;
    }
    blocks_.erase(found);
    log_event(entry_suspect_unblocked, {{"suspect", hex_text(suspect)}});
}

bool crash_controller::have_ended(const std::set<std::uint64_t>& numbers) const
{
    return !numbers.empty() && std::all_of(numbers.begin(),
                                           numbers.end(),
                                           [this](std::uint64_t each)
                                           {
                                               return ended_blocks_.count(each) > 0;
                                           });
}

void crash_controller::forget_ended_blocks()
{
    for (auto each = ended_blocks_.begin(); each != ended_blocks_.end();)
    {
        const bool is_over = each->second <= context_.loop.now();
        each = is_over ? ended_blocks_.erase(each) : std::next(each);
    }
    while (ended_blocks_.size() > max_ended_blocks)
    {
        // any is as good: numbers say nothing about age
        ended_blocks_.erase(ended_blocks_.begin());
    }
}

void crash_controller::remove_item(crash_suspect suspect)
{
    store_.remove_item(item_key(suspect),
                       [this, suspect, until = context_.loop.now() + block_time]
                       {
                           return !is_blocked(suspect) && context_.loop.now() < until;
                       });
}

void crash_controller::unblock_everywhere(crash_suspect suspect)
{
    if (is_blocked(suspect))
    {
        const std::set<std::uint64_t> numbers = blocks_.at(suspect).numbers;
        record_harmless(suspect, numbers);
        send_to_all(
            {{"type", "harmless"}, {"suspect", suspect.get()}, {"blocks", numbers}});
        remove_item(suspect);
    }
}

void crash_controller::record_begun(const prompt_suspects& prompt)
{
    // the last part belongs to the request or its session alone
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        harmless_at_[prompt[i]] = context_.loop.now();
        unblock_everywhere(prompt[i]);
    }
    forget_old_harmless();
}

void crash_controller::record_answered(const request_suspects& request)
{
    harmless_at_[request.request] = context_.loop.now();
    unblock_everywhere(request.request);
    forget_old_harmless();
}

void crash_controller::forget_old_harmless()
{
    for (millis age = max_harmless_age;
         harmless_at_.size() > max_harmless && age > millis(0);
         age = age / 2)
    {
        for (auto each = harmless_at_.begin(); each != harmless_at_.end();)
        {
            const bool is_old = each->second + age < context_.loop.now();
            each = is_old ? harmless_at_.erase(each) : std::next(each);
        }
    }
}

std::optional<blocked_suspect>
crash_controller::find_blocked(const request_suspects& request) const
{
    if (blocks_.empty())
    {
        return std::nullopt;
    }
    std::vector<crash_suspect> all{request.request};
    all.insert(all.end(), request.prompt.begin(), request.prompt.end());
    for (const crash_suspect each : all)
    {
        if (is_blocked(each))
        {
            return blocked_suspect{each, blocks_.at(each).until - context_.loop.now()};
        }
    }
    return std::nullopt;
}

bool crash_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "crashes")
    {
        handle_reports(message);
        return true;
    }
    if (type == "reached?")
    {
        answer_whether_reached(from, message);
        return true;
    }
    if (type == "harmless?")
    {
        answer_question(from, message);
        return true;
    }
    if (type == "blocked")
    {
        const millis left = std::min(block_time, read_span(message, "left_ms"));
        const crash_suspect suspect = read_suspect(message);
        const std::set<std::uint64_t> numbers = read_blocks(message);
        if (have_ended(numbers))
        {
            // another host has told sooner that it has ended
            return true;
        }
        record_blocked(suspect, context_.loop.now() + left, numbers);
        // the judge may have missed the answer of this host to its question
        if (const auto known = write_harmless_since(suspect))
        {
            from->send(*known);
        }
        return true;
    }
    if (type == "harmless")
    {
        record_harmless(read_suspect(message), read_blocks(message));
        return true;
    }
    if (type == "harmless_since")
    {
        handle_harmless_since(message);
        return true;
    }
    return false;
}

void crash_controller::handle_harmless_since(const nlohmann::json& message)
{
    std::vector<std::pair<crash_suspect, steady_time>> harmless;
    for (const nlohmann::json& each : message.at("suspects"))
    {
        const millis age = std::max(millis(0), read_span(each, "age_ms"));
        harmless.emplace_back(read_suspect(each), context_.loop.now() - age);
    }
    for (const auto& each : harmless)
    {
        acquit(each.first, each.second);
    }
}

bool crash_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() == "reached")
    {
        handle_whether_reached(message);
        return true;
    }
    if (message.at("type").get<std::string>() != "harmless_since")
    {
        return false;
    }
    handle_harmless_since(message);
    return true;
}

std::string crash_controller::item_key(crash_suspect suspect) const
{
    return absl::StrCat(context_.protocol.blocked_suspect_prefix(), hex_text(suspect));
}

std::optional<crash_suspect> crash_controller::read_item_key(const std::string& key) const
{
    std::uint64_t suspect = 0;
    const std::string hex = key.substr(context_.protocol.blocked_suspect_prefix().size());
    if (!absl::SimpleHexAtoi(hex, &suspect))
    {
        log_event(
            entry_item_unreadable,
            {{"what", key}, {"why", "the key does not end in a hexadecimal number"}});
        return std::nullopt;
    }
    return crash_suspect(suspect);
}

void crash_controller::handle_item(const store_item& item)
{
    const std::optional<crash_suspect> suspect = read_item_key(item.key);
    if (!suspect)
    {
        return;
    }
    if (!item.is_deleted)
    {
        handle_blocked_item(*suspect, read_item_block(item.value));
    }
    else if (blocks_.erase(*suspect) > 0)
    {
        log_event(entry_suspect_unblocked, {{"suspect", hex_text(*suspect)}});
    }
}

void crash_controller::handle_blocked_item(crash_suspect suspect, std::uint64_t number)
{
    if (!is_blocked(suspect) && ended_blocks_.count(number) > 0)
    {
        // written after its removal, or back with an old copy of the store
        if (is_judge())
        {
            remove_item(suspect);
        }
        return;
    }
    const bool is_new = !is_blocked(suspect);
    const std::set<std::uint64_t> numbers =
        number == 0 ? std::set<std::uint64_t>() : std::set<std::uint64_t>{number};
    record_blocked(suspect, context_.loop.now() + block_time, numbers);
    blocks_.at(suspect).is_mirrored = true;
    if (is_new)
    {
        // the judge that blocked it may not have reached this host
        tell_judges_harmless(suspect);
    }
}

void crash_controller::handle_item_expired(const std::string& key)
{
    const std::optional<crash_suspect> suspect = read_item_key(key);
    if (!suspect || !is_blocked(*suspect))
    {
        return;
    }
    blocks_.at(*suspect).is_mirrored = false;
    if (is_judge())
    {
        write_item(*suspect);
    }
}

void crash_controller::handle_new_era()
{
    write_missing_items(millis(0));
}

void crash_controller::check_items()
{
    forget_ended_blocks();
    if (store_.is_in_contact())
    {
        // the judges that had to write an item may have been killed before
        write_missing_items(mirror_time);
    }
    context_.loop.after(check_interval,
                        [this]
                        {
                            check_items();
                        });
}

void crash_controller::write_missing_items(millis min_age)
{
    if (!is_judge())
    {
        return;
    }
    // what is in the mirror is written again once it is missing, see
    // handle_item_expired()
    for (const auto& each : blocks_)
    {
        if (is_blocked(each.first) && !each.second.is_mirrored &&
            each.second.written_at + min_age <= context_.loop.now())
        {
            write_item(each.first);
        }
    }
}

} // namespace medlar
