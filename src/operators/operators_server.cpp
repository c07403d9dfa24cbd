#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/operators_server.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/str_cat.h>
#include <grpcpp/grpcpp.h>
#include <medlar.grpc.pb.h>

#include <chrono>
#include <utility>

namespace medlar
{

namespace
{

constexpr int max_threads = 32;
constexpr int max_message_bytes = 4000000;
constexpr std::chrono::seconds stop_timeout(10);

using grpc::ServerContext;

/// @brief gRPC methods; each converts its request, calls a service and converts the
/// result.
class operators_methods final : public v1::Operators::Service
{
  public:
    explicit operators_methods(const operator_services& services) : services_(services)
    {
    }

    grpc::Status Apply(ServerContext* /*context*/,
                       const v1::ApplyRequest* request,
                       v1::ChangeReply* reply) override
    {
        absl::StatusOr<document> content = from_message(request->content());
        if (!content.ok())
        {
            return to_grpc(content.status());
        }
        return change(request->change(), replace_content{*std::move(content)}, reply);
    }

    grpc::Status Get(ServerContext* /*context*/,
                     const v1::GetRequest* request,
                     v1::AcceptedDocument* reply) override
    {
        if (request->from_gateway())
        {
            return set_reply(services_.fleet.local_configuration(), reply);
        }
        return set_reply(services_.changes.get(revision(request->revision())), reply);
    }

    grpc::Status Diff(ServerContext* /*context*/,
                      const v1::DiffRequest* request,
                      v1::DiffReply* reply) override
    {
        const absl::StatusOr<document> content = from_message(request->content());
        if (!content.ok())
        {
            return to_grpc(content.status());
        }
        const absl::Status valid = validate(*content);
        if (!valid.ok())
        {
            return to_grpc(valid);
        }
        const absl::StatusOr<accepted_document> accepted =
            services_.changes.get(revision(0));
        if (!accepted.ok())
        {
            return to_grpc(accepted.status());
        }
        reply->set_revision(accepted->number.get());
        add_messages(differences_between(accepted->content, *content),
                     reply->mutable_differences());
        return grpc::Status::OK;
    }

    grpc::Status History(ServerContext* /*context*/,
                         const v1::HistoryRequest* request,
                         v1::HistoryReply* reply) override
    {
        const auto records = services_.changes.history();
        if (!records.ok())
        {
            return to_grpc(records.status());
        }
        for (const audit_record& each : *records)
        {
            const auto listed = static_cast<std::uint32_t>(reply->records_size());
            if (request->limit() == 0 || listed < request->limit())
            {
                *reply->add_records() = to_message(each);
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status Rollback(ServerContext* /*context*/,
                          const v1::RollbackRequest* request,
                          v1::ChangeReply* reply) override
    {
        return change(
            request->change(), restore_revision{revision(request->to_revision())}, reply);
    }

    grpc::Status ChangeStatus(ServerContext* /*context*/,
                              const v1::ChangeStatusRequest* request,
                              v1::ChangeReply* reply) override
    {
        std::optional<revision> based_on;
        if (request->has_based_on())
        {
            based_on = revision(request->based_on());
        }
        record_local_revision();
        return set_reply(services_.changes.status(request->change_id(), based_on), reply);
    }

    grpc::Status DrainTarget(ServerContext* /*context*/,
                             const v1::TargetRequest* request,
                             v1::ChangeReply* reply) override
    {
        return change(
            request->change(), set_drained{target_id(request->target()), true}, reply);
    }

    grpc::Status UndrainTarget(ServerContext* /*context*/,
                               const v1::TargetRequest* request,
                               v1::ChangeReply* reply) override
    {
        return change(
            request->change(), set_drained{target_id(request->target()), false}, reply);
    }

    grpc::Status Status(ServerContext* /*context*/,
                        const v1::StatusRequest* /*request*/,
                        v1::StatusReply* reply) override
    {
        *reply = to_message(services_.fleet.status());
        const absl::StatusOr<accepted_document> accepted =
            services_.changes.get(revision(0));
        if (accepted.ok())
        {
            reply->set_revision(accepted->number.get());
        }
        else
        {
            reply->set_store_error(std::string(accepted.status().message()));
        }
        return grpc::Status::OK;
    }

    grpc::Status Explain(ServerContext* /*context*/,
                         const v1::ExplainRequest* request,
                         v1::ExplainReply* reply) override
    {
        const request_key key{organisation_id(request->organisation()),
                              request_id(request->request_id())};
        *reply = to_message(services_.fleet.explain(key));
        return grpc::Status::OK;
    }

    grpc::Status ForceView(ServerContext* /*context*/,
                           const v1::ForceViewRequest* request,
                           v1::ForceViewReply* reply) override
    {
        force_view_request input;
        input.change_id = request->change_id();
        input.author = request->author();
        input.expected = view_epoch(request->expected_epoch());
        input.confirmation = request->confirmation();
        for (const std::string& each : request->stopped_hosts())
        {
            input.stopped.emplace_back(each);
        }
        const absl::StatusOr<force_view_result> result = services_.views.force(input);
        if (!result.ok())
        {
            return to_grpc(result.status());
        }
        reply->set_state(to_message(result->state));
        reply->set_epoch(result->epoch.get());
        reply->set_accepted_earlier(result->accepted_earlier);
        for (const host_id& each : result->members)
        {
            reply->add_members(each.get());
        }
        return grpc::Status::OK;
    }

    grpc::Status OrderModel(ServerContext* /*context*/,
                            const v1::OrderModelRequest* request,
                            v1::OrderModelReply* reply) override
    {
        const order_request input{request->change_id(),
                                  request->author(),
                                  pool_id(request->pool()),
                                  from_message(*request)};
        const absl::StatusOr<order_result> result = services_.orders.order(input);
        if (!result.ok())
        {
            return to_grpc(result.status());
        }
        reply->set_state(to_message(result->state));
        reply->set_revision(result->number.get());
        reply->set_accepted_earlier(result->accepted_earlier);
        return grpc::Status::OK;
    }

  private:
    template <typename Value, typename Message>
    static grpc::Status set_reply(const absl::StatusOr<Value>& value, Message* reply)
    {
        if (!value.ok())
        {
            return to_grpc(value.status());
        }
        *reply = to_message(*value);
        return grpc::Status::OK;
    }

    grpc::Status
    change(const v1::Change& identity, const document_edit& edit, v1::ChangeReply* reply)
    {
        record_local_revision();
        return set_reply(services_.changes.change(from_message(identity), edit), reply);
    }

    /// @brief Records the revision in force at the local gateway, so that an operator
    /// program that has just started also detects a store that has lost changes.
    void record_local_revision()
    {
        const absl::StatusOr<host_report> local = services_.fleet.local_report();
        if (local.ok())
        {
            services_.changes.record_seen_revision(local->configuration);
        }
    }

    operator_services services_;
};

class running_server final : public operators_server
{
  public:
    explicit running_server(const operator_services& services) : methods_(services)
    {
    }

    ~running_server() override
    {
        stop();
    }

    absl::Status start(const endpoint& where)
    {
        const bool is_ipv6 = where.address.find(':') != std::string::npos;
        const std::string address =
            absl::StrCat(is_ipv6 ? absl::StrCat("[", where.address, "]") : where.address,
                         ":",
                         where.port);
        grpc::ResourceQuota quota;
        quota.SetMaxThreads(max_threads);
        int port = 0;
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetMaxReceiveMessageSize(max_message_bytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&methods_);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port == 0)
        {
            return make_error(absl::StatusCode::kUnavailable,
                              error_number::bad_setting,
                              absl::StrCat("cannot listen on ", address));
        }
        where_ = {where.address, static_cast<std::uint16_t>(port)};
        return absl::OkStatus();
    }

    endpoint where() const override
    {
        return where_;
    }

    void stop() override
    {
        if (server_ != nullptr)
        {
            server_->Shutdown(std::chrono::system_clock::now() + stop_timeout);
            server_->Wait();
            server_.reset();
        }
    }

  private:
    operators_methods methods_;
    std::unique_ptr<grpc::Server> server_;
    endpoint where_;
};

} // namespace

absl::StatusOr<std::unique_ptr<operators_server>>
operators_server::create(const endpoint& where, const operator_services& services)
{
    auto server = std::make_unique<running_server>(services);
    const absl::Status started = server->start(where);
    if (!started.ok())
    {
        return started;
    }
    return server;
}

} // namespace medlar
