// gRPC callback service and its reactors.

#include "arbutus/peer/server.h"

#include "arbutus/core/hash.h"
#include "arbutus/peer/codec.h"
#include "arbutus/peer/protocol.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <deque>
#include <mutex>

namespace arbutus::peer {

namespace {

constexpr auto ShutdownGracePeriod = std::chrono::milliseconds(500);

/// Response stream of one forwarded request. Must stay alive until gRPC calls OnDone(); the handler shares ownership by shared_ptr.
class ForwardReactor final : public grpc::ServerWriteReactor<wire::ForwardPiece>, public ForwardSession
{
public:
    void sendHead(const http::Response &head, std::function<void(bool)> done) override
    {
        wire::ForwardPiece piece;
        piece.set_status(head.status);
        for (const auto &[name, value] : head.headers) {
            auto *header = piece.add_headers();
            header->set_name(name);
            header->set_value(value);
        }
        enqueue(std::move(piece), std::move(done));
    }

    void sendBody(std::string_view chunk, std::function<void(bool)> done) override
    {
        wire::ForwardPiece piece;
        piece.set_body(std::string(chunk));
        enqueue(std::move(piece), std::move(done));
    }

    void finish(bool complete) override
    {
        if (complete) {
            wire::ForwardPiece piece;
            piece.set_last(true);
            enqueue(std::move(piece), {});
        }
        const std::lock_guard lock(m_mutex);
        m_finishing = true;
        m_complete = complete;
        finishIfIdle();
    }

    void OnWriteDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        std::function<void(bool)> done;
        {
            const std::lock_guard lock(m_mutex);
            done = std::move(m_queue.front().done);
            m_queue.pop_front();
            m_writing = false;
            m_streamBroken = m_streamBroken || !ok;
            writeNext();
            finishIfIdle();
        }
        if (done) {
            done(ok);
        }
    }

    void OnCancel() override // NOLINT(readability-identifier-naming)
    {
        const std::lock_guard lock(m_mutex);
        m_streamBroken = true;
    }

    void OnDone() override // NOLINT(readability-identifier-naming)
    {
        m_self.reset();
    }

    /// Keeps the reactor alive until OnDone().
    void retainUntilDone(std::shared_ptr<ForwardReactor> self)
    {
        m_self = std::move(self);
    }

private:
    struct PendingWrite
    {
        wire::ForwardPiece piece;
        std::function<void(bool)> done;
    };

    void enqueue(wire::ForwardPiece piece, std::function<void(bool)> done)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_streamBroken && !m_finishing) {
                m_queue.push_back(PendingWrite{std::move(piece), std::move(done)});
                writeNext();
                return;
            }
        }
        if (done) {
            done(false);
        }
    }

    void writeNext()
    {
        if (!m_writing && !m_queue.empty()) {
            m_writing = true;
            StartWrite(&m_queue.front().piece);
        }
    }

    void finishIfIdle()
    {
        if (m_finishing && !m_writing && !m_finished) {
            m_finished = true;
            Finish(m_complete ? grpc::Status::OK : grpc::Status(grpc::StatusCode::ABORTED, "the response is incomplete"));
        }
    }

    std::mutex m_mutex;
    std::deque<PendingWrite> m_queue;
    bool m_writing = false;
    bool m_streamBroken = false;
    bool m_finishing = false;
    bool m_finished = false;
    bool m_complete = false;
    std::shared_ptr<ForwardReactor> m_self;
};

/// Fails a stream before anything is sent.
class RejectingReactor final : public grpc::ServerWriteReactor<wire::ForwardPiece>
{
public:
    explicit RejectingReactor(const grpc::Status &status)
    {
        Finish(status);
    }
    void OnDone() override // NOLINT(readability-identifier-naming)
    {
        delete this;
    }
};

class Service final : public wire::Peer::CallbackService
{
public:
    Service(std::string keyHash, ServerHandlers handlers)
        : m_keyHash(std::move(keyHash))
        , m_handlers(std::move(handlers))
    {
    }

    grpc::ServerWriteReactor<wire::ForwardPiece> *Forward(grpc::CallbackServerContext *context, const wire::ForwardRequest *in) override
    {
        const grpc::Status status = validateCall(*context, in->version());
        if (!status.ok()) {
            return new RejectingReactor(status); // NOLINT(cppcoreguidelines-owning-memory): deletes itself in OnDone()
        }
        auto reactor = std::make_shared<ForwardReactor>();
        reactor->retainUntilDone(reactor);
        reactor->request.method = in->method();
        reactor->request.target = in->target();
        reactor->request.body = in->body();
        for (const auto &header : in->headers()) {
            reactor->request.headers[header.name()] = header.value();
        }
        reactor->origin = core::InstanceRef{core::InstanceId(in->origin().id()), core::Incarnation(in->origin().incarnation())};
        reactor->via = in->via();
        reactor->attemptId = core::AttemptId(in->attempt_id());
        reactor->remainingTime = std::chrono::milliseconds(in->deadline_left_ms());
        m_handlers.onForwardedRequest(reactor);
        return reactor.get();
    }

    grpc::ServerUnaryReactor *Ledger(grpc::CallbackServerContext *context, const wire::LedgerRequest *in, wire::LedgerReply *out) override
    {
        auto *reactor = context->DefaultReactor();
        const grpc::Status status = validateCall(*context, in->version());
        if (!status.ok()) {
            reactor->Finish(status);
            return reactor;
        }
        m_handlers.onLedgerCall(fromWire(*in), [reactor, out](std::optional<delivery::LedgerResult> result) {
            if (!result) {
                reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "the instance is overloaded"));
                return;
            }
            toWire(*result, *out);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Configuration(grpc::CallbackServerContext *context, const wire::ConfigurationRequest *in, wire::ConfigurationReply *out) override
    {
        auto *reactor = context->DefaultReactor();
        const grpc::Status status = validateCall(*context, in->version());
        if (!status.ok()) {
            reactor->Finish(status);
            return reactor;
        }
        m_handlers.onConfigurationRequest(core::Revision(in->after()), [reactor, out](std::optional<node::ConfigResponse> response) {
            if (!response) {
                reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "the instance is overloaded"));
                return;
            }
            out->set_version(ProtocolVersion);
            out->set_revision(response->revision.value);
            out->set_snapshot(response->snapshot);
            for (const config::LogEntry &entry : response->entries) {
                out->add_entries(entry.serialize());
            }
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    [[nodiscard]] grpc::Status validateCall(const grpc::CallbackServerContext &context, std::uint32_t version) const
    {
        const auto &metadata = context.client_metadata();
        const auto key = metadata.find(ClusterKeyMetadataName);
        if (key == metadata.end() || !core::equalConstantTime(std::string_view(key->second.data(), key->second.size()), m_keyHash)) {
            return {grpc::StatusCode::UNAUTHENTICATED, "the cluster key does not match; compare [peers] cluster_key of both instances"};
        }
        if (!isVersionSupported(version)) {
            return {grpc::StatusCode::FAILED_PRECONDITION,
                    "protocol version " + std::to_string(version) + " is not supported by this instance; complete the upgrade of all instances"};
        }
        return grpc::Status::OK;
    }

    std::string m_keyHash;
    ServerHandlers m_handlers;
};

} // namespace

struct Server::Impl
{
    Impl(const std::string &keyHash, ServerHandlers handlers)
        : service(keyHash, std::move(handlers))
    {
    }
    Service service;
    std::unique_ptr<grpc::Server> server;
};

Server::Server(const std::string &address, const std::string &clusterKey, ServerHandlers handlers)
    : m_impl(std::make_unique<Impl>(core::sha256Hex(clusterKey), std::move(handlers)))
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    builder.RegisterService(&m_impl->service);
    m_impl->server = builder.BuildAndStart();
    if (m_impl->server == nullptr) {
        throw std::runtime_error("cannot listen on " + address + "; check [listen] peers in the settings");
    }
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (m_impl->server != nullptr) {
        m_impl->server->Shutdown(std::chrono::system_clock::now() + ShutdownGracePeriod);
        m_impl->server.reset();
    }
}

} // namespace arbutus::peer
