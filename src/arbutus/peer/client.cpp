// Unary and streaming calls over cached gRPC channels.

#include "arbutus/peer/client.h"

#include "arbutus/core/hash.h"
#include "arbutus/peer/codec.h"
#include "arbutus/peer/protocol.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <map>
#include <mutex>
#include <thread>

namespace arbutus::peer {

namespace {

constexpr int MaxReconnectBackoffMs = 1'000;
constexpr int MinReconnectBackoffMs = 100; // also the initial backoff

/// State of one unary call; must outlive its completion callback.
template<class Request, class Reply>
struct UnaryCall
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

class ForwardReader final : public grpc::ClientReadReactor<wire::ForwardPiece>, public ForwardStream
{
public:
    void start(wire::Peer::Stub &stub, const std::string &keyHash, std::chrono::milliseconds timeout, std::shared_ptr<ForwardReader> self)
    {
        m_self = std::move(self);
        m_context.AddMetadata(ClusterKeyMetadataName, keyHash);
        m_context.set_deadline(std::chrono::system_clock::now() + timeout);
        stub.async()->Forward(&m_context, &request, this);
        AddHold(); // reads are started outside of reactor callbacks
        StartCall();
    }

    void read(std::function<void(std::optional<ForwardChunk>)> done) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_ended) {
                m_done = std::move(done);
                StartRead(&m_piece);
                return;
            }
        }
        done(std::nullopt);
    }

    void cancel() override
    {
        m_context.TryCancel();
        releaseHold();
    }

    void OnReadDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        std::function<void(std::optional<ForwardChunk>)> done;
        std::optional<ForwardChunk> chunk;
        {
            const std::lock_guard lock(m_mutex);
            done = std::move(m_done);
            if (ok) {
                chunk = takeChunk();
            }
            m_ended = !chunk || chunk->last;
        }
        if (ok && !chunk) {
            m_context.TryCancel();
        }
        if (!chunk || chunk->last) {
            releaseHold();
        }
        if (done) {
            done(std::move(chunk));
        }
    }

    void OnDone(const grpc::Status & /*status*/) override // NOLINT(readability-identifier-naming)
    {
        m_self.reset();
    }

    wire::ForwardRequest request;

private:
    /// The piece that has arrived; nothing if the response has no head with a valid status before or in it.
    std::optional<ForwardChunk> takeChunk()
    {
        ForwardChunk chunk;
        chunk.hasHead = m_piece.status() != 0;
        if (chunk.hasHead ? !http::isFinalStatus(m_piece.status()) : !m_hasHead) {
            return std::nullopt;
        }
        m_hasHead = true;
        chunk.head.status = m_piece.status();
        for (const auto &header : m_piece.headers()) {
            chunk.head.headers[header.name()] = header.value();
        }
        chunk.body = std::move(*m_piece.mutable_body());
        chunk.last = m_piece.last();
        return chunk;
    }

    void releaseHold()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_released) {
                return;
            }
            m_released = true;
            m_ended = true;
        }
        RemoveHold();
    }

    grpc::ClientContext m_context;
    wire::ForwardPiece m_piece;
    std::mutex m_mutex;
    std::function<void(std::optional<ForwardChunk>)> m_done;
    bool m_hasHead = false; // of the response
    bool m_ended = false;
    bool m_released = false;
    std::shared_ptr<ForwardReader> m_self;
};

/// Cancels the call when the last reference to the stream is released.
class ForwardHandle final : public ForwardStream
{
public:
    explicit ForwardHandle(std::shared_ptr<ForwardReader> reader)
        : m_reader(std::move(reader))
    {
    }
    ForwardHandle(const ForwardHandle &) = delete;
    ForwardHandle &operator=(const ForwardHandle &) = delete;
    ~ForwardHandle() override
    {
        m_reader->cancel();
    }
    void read(std::function<void(std::optional<ForwardChunk>)> done) override
    {
        m_reader->read(std::move(done));
    }
    void cancel() override
    {
        m_reader->cancel();
    }

private:
    std::shared_ptr<ForwardReader> m_reader;
};

/// Tag on the completion queue for a pending channel state change.
struct PendingConnect
{
    std::function<void(bool)> done;
};

} // namespace

struct Client::Impl
{
    explicit Impl(const std::string &clusterKey)
        : keyHash(core::sha256Hex(clusterKey))
        , connectThread([this] { runConnectLoop(); })
    {
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl()
    {
        connectQueue.Shutdown();
        connectThread.join();
    }

    void runConnectLoop()
    {
        void *tag = nullptr;
        bool ok = false;
        while (connectQueue.Next(&tag, &ok)) {
            const std::unique_ptr<PendingConnect> pending(static_cast<PendingConnect *>(tag));
            pending->done(ok);
        }
    }

    std::shared_ptr<grpc::Channel> channelTo(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        auto &channel = channels[address];
        if (channel == nullptr) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
            channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        }
        return channel;
    }

    std::string keyHash;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;
    grpc::CompletionQueue connectQueue;
    std::thread connectThread;
};

Client::Client(const std::string &clusterKey)
    : m_impl(std::make_unique<Impl>(clusterKey))
{
}

Client::~Client() = default;

void Client::callLedger(const std::string &address,
                        const node::LedgerCall &call,
                        std::chrono::milliseconds timeout,
                        std::function<void(std::optional<delivery::LedgerResult>)> done)
{
    auto unary = std::make_shared<UnaryCall<wire::LedgerRequest, wire::LedgerReply>>();
    toWire(call, unary->request);
    unary->context.AddMetadata(ClusterKeyMetadataName, m_impl->keyHash);
    unary->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const auto stub = std::shared_ptr<wire::Peer::Stub>(wire::Peer::NewStub(m_impl->channelTo(address)));
    stub->async()->Ledger(&unary->context, &unary->request, &unary->reply, [unary, stub, done = std::move(done)](const grpc::Status &status) {
        done(status.ok() && isVersionSupported(unary->reply.version()) ? std::optional(fromWire(unary->reply)) : std::nullopt);
    });
}

void Client::fetchConfiguration(const std::string &address,
                                core::Revision after,
                                std::chrono::milliseconds timeout,
                                std::function<void(std::optional<node::Event>)> done)
{
    auto unary = std::make_shared<UnaryCall<wire::ConfigurationRequest, wire::ConfigurationReply>>();
    unary->request.set_version(ProtocolVersion);
    unary->request.set_after(after.value);
    unary->context.AddMetadata(ClusterKeyMetadataName, m_impl->keyHash);
    unary->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const auto stub = std::shared_ptr<wire::Peer::Stub>(wire::Peer::NewStub(m_impl->channelTo(address)));
    stub->async()->Configuration(&unary->context, &unary->request, &unary->reply, [unary, stub, done = std::move(done)](const grpc::Status &status) {
        if (!status.ok()) {
            done(std::nullopt);
            return;
        }
        if (!unary->reply.snapshot().empty()) {
            done(node::ConfigSnapshotReceived{unary->reply.snapshot()});
            return;
        }
        node::ConfigEntriesReceived received;
        for (const std::string &text : unary->reply.entries()) {
            auto entry = config::parseLogEntry(text);
            if (entry) {
                received.entries.push_back(std::move(entry.value()));
            }
        }
        done(std::move(received));
    });
}

void Client::connect(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    const auto channel = m_impl->channelTo(address);
    const grpc_connectivity_state state = channel->GetState(true);
    if (state == GRPC_CHANNEL_READY) {
        done(true);
        return;
    }
    const auto deadline = std::chrono::system_clock::now() + timeout;
    auto pending = std::make_unique<PendingConnect>();
    pending->done = [this, address, deadline, done = std::move(done)](bool changed) mutable {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::system_clock::now());
        if (!changed || remaining.count() <= 0) {
            done(m_impl->channelTo(address)->GetState(false) == GRPC_CHANNEL_READY);
            return;
        }
        connect(address, remaining, std::move(done));
    };
    channel->NotifyOnStateChange(state, deadline, &m_impl->connectQueue, pending.release());
}

std::shared_ptr<ForwardStream> Client::forward(const std::string &address, const ForwardCall &call)
{
    auto reader = std::make_shared<ForwardReader>();
    wire::ForwardRequest &request = reader->request;
    request.set_version(ProtocolVersion);
    request.mutable_origin()->set_id(call.origin.id.text);
    request.mutable_origin()->set_incarnation(call.origin.incarnation.value);
    request.set_hops(1);
    request.set_method(call.request.method);
    request.set_target(call.request.target);
    for (const auto &[name, value] : call.request.headers) {
        auto *header = request.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    request.set_body(call.request.body);
    request.set_deadline_left_ms(call.remainingTime.count());
    request.set_config_revision(call.configRevision.value);
    request.set_decision_id(call.decisionId.text);
    request.set_region(call.originRegion.text);
    request.set_attempt_id(call.attemptId.text);
    request.set_via(call.via);
    const auto stub = wire::Peer::NewStub(m_impl->channelTo(address));
    reader->start(*stub, m_impl->keyHash, call.remainingTime, reader);
    return std::make_shared<ForwardHandle>(std::move(reader));
}

} // namespace arbutus::peer
