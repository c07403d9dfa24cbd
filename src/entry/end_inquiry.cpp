#include <medlar/detail/entry/end_inquiry.hpp>

#include <utility>

namespace medlar
{

namespace
{

// the latency between hosts and targets is a few ms; a SYN that is lost is sent again
// after a second
constexpr millis connect_timeout{400};

// a target answers the question without a slot; one that does not in this time is silent
constexpr millis answer_timeout{250};

// interval for asking over a connection that another question uses
constexpr millis witness_wait{2};

// limit for the answer to the question
constexpr std::size_t max_answer_bytes = 65536;

} // namespace

end_inquiry::end_inquiry(entry_context& context,
                         const target_id& target,
                         const endpoint& where,
                         const sender_start& sender,
                         steady_time seen_open_at,
                         std::function<void(const end_finding&)> on_found)
    : context_(context),
      target_(target),
      where_(where),
      check_(end_check::create(sender)),
      seen_open_at_(seen_open_at),
      on_found_(std::move(on_found)),
      began_(context.loop.now())
{
    // deferred, so that the ends of other connections in the same turn are handled before
    timer_ = context_.loop.after(millis(0),
                                 [this]
                                 {
                                     ask();
                                 });
}

end_inquiry::~end_inquiry()
{
    context_.loop.cancel(timer_);
    if (call_)
    {
        call_->cancel();
    }
}

void end_inquiry::ask()
{
    const target_state* const target = context_.targets.find(target_);
    const bool is_leaving = target == nullptr || !takes_work(*target);
    if (questions_ == 0 && is_leaving && context_.client.is_witness_busy(where_))
    {
        // another answer of the target has ended just before
        timer_ = context_.loop.after(witness_wait,
                                     [this]
                                     {
                                         ask();
                                     });
        return;
    }
    has_head_ = false;
    is_unframed_ = false;
    is_misdirected_ = false;
    answer_.clear();
    call_options options;
    options.connect_timeout = connect_timeout;
    options.needs_new_connection = questions_ > 0;
    // the question may end the witness, which is better evidence while it lives; a target
    // that leaves may not accept another connection
    options.may_use_witness = is_leaving;
    ++questions_;
    call_callbacks events;
    events.accepts_head = [this](const answer_head& head)
    {
        return context_.protocol.read_answer(head).attempt.empty();
    };
    events.on_head = [this](const answer_head& head)
    {
        has_head_ = true;
        is_unframed_ = head.framing.kind == body_kind::until_close;
        is_misdirected_ = context_.protocol.read_answer(head).is_of_other_target;
    };
    events.on_data = [this](absl::string_view data)
    {
        if (answer_.size() < max_answer_bytes)
        {
            answer_.append(data.data(), data.size());
        }
    };
    events.on_end = [this](call_end how)
    {
        on_answer_end(how);
    };
    wait_for_answer();
    const std::uint64_t opened_before = context_.client.opened_connections();
    call_ = context_.client.start(where_,
                                  context_.protocol.write_start_question(where_, target_),
                                  options,
                                  std::move(events));
    is_kept_connection_ = context_.client.opened_connections() == opened_before;
}

void end_inquiry::wait_for_answer()
{
    timer_ = context_.loop.after(answer_timeout,
                                 [this]
                                 {
                                     if (!call_->has_sent())
                                     {
                                         // connecting has a timeout of its own
                                         wait_for_answer();
                                         return;
                                     }
                                     call_->cancel();
                                     take_in({is_misdirected_ ? question_end::misdirected
                                              : has_head_     ? question_end::answered
                                                              : question_end::silent,
                                              std::nullopt});
                                 });
}

void end_inquiry::on_answer_end(call_end how)
{
    end_evidence evidence;
    const bool is_cut = is_unframed_ && !context_.protocol.is_whole_start_answer(answer_);
    if (is_misdirected_)
    {
        evidence.end = question_end::misdirected;
    }
    else if (how == call_end::complete && !is_cut)
    {
        evidence.started_ms = context_.protocol.read_start_answer(answer_);
    }
    else if (how == call_end::not_sent)
    {
        const std::optional<connection_end> by = call_->ended_by();
        evidence.end = by == connection_end::refused ? question_end::refused
                       : by == connection_end::reset ? question_end::broken_off
                                                     : question_end::unreachable;
    }
    else if (how != call_end::malformed)
    {
        evidence.end = question_end::broken_off;
    }
    take_in(evidence);
}

void end_inquiry::take_in(end_evidence evidence)
{
    context_.loop.cancel(timer_);
    call_ = nullptr;
    evidence.has_older_connection =
        context_.client.has_connection_since(where_, seen_open_at_);
    evidence.is_kept_connection = is_kept_connection_;
    const std::variant<answer_end, ask_again> decided = check_.consider(evidence);
    if (const auto* again = std::get_if<ask_again>(&decided))
    {
        timer_ = context_.loop.after(again->delay,
                                     [this]
                                     {
                                         ask();
                                     });
        return;
    }
    end_finding found;
    found.end = std::get<answer_end>(decided);
    found.evidence = evidence;
    found.questions = questions_;
    found.took = context_.loop.now() - began_;
    // the receiver may destroy this inquiry
    const auto on_found = std::move(on_found_);
    on_found(found);
}

} // namespace medlar
