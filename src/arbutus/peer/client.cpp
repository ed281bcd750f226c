// Calls over kept channels.

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

constexpr int ReconnectMostMs = 1'000; // longest pause between two tries of a channel
constexpr int ReconnectFirstMs = 100;

/// One unary call; lives until its completion.
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
    void start(wire::Peer::Stub &stub, const std::string &key, std::chrono::milliseconds timeout, std::shared_ptr<ForwardReader> self)
    {
        m_self = std::move(self);
        m_context.AddMetadata(ClusterKeyMetadataName, key);
        m_context.set_deadline(std::chrono::system_clock::now() + timeout);
        stub.async()->Forward(&m_context, &request, this);
        AddHold(); // reads are started from outside the reactions
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

    void OnReadDone(bool good) override // NOLINT(readability-identifier-naming)
    {
        std::function<void(std::optional<ForwardChunk>)> done;
        std::optional<ForwardChunk> part;
        {
            const std::lock_guard lock(m_mutex);
            done = std::move(m_done);
            if (good) {
                part = takePart();
            } else {
                m_ended = true;
            }
        }
        if (!good || part->last) {
            releaseHold();
        }
        if (done) {
            done(std::move(part));
        }
    }

    void OnDone(const grpc::Status & /*status*/) override // NOLINT(readability-identifier-naming)
    {
        m_self.reset();
    }

    wire::ForwardRequest request;

private:
    ForwardChunk takePart()
    {
        ForwardChunk part;
        part.hasHead = m_piece.status() != 0;
        part.head.status = m_piece.status();
        for (const auto &header : m_piece.headers()) {
            part.head.headers[header.name()] = header.value();
        }
        part.body = std::move(*m_piece.mutable_body());
        part.last = m_piece.last();
        m_ended = part.last;
        return part;
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
    bool m_ended = false;
    bool m_released = false;
    std::shared_ptr<ForwardReader> m_self;
};

/// Cancels the call when the user lets go of the stream.
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

/// Waits for a channel's connection on gRPC's completion queue.
struct ConnectWait
{
    std::function<void(bool)> done;
};

} // namespace

struct Client::Impl
{
    explicit Impl(const std::string &clusterKey)
        : key(core::sha256Hex(clusterKey))
        , waiter([this] { waitLoop(); })
    {
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl()
    {
        queue.Shutdown();
        waiter.join();
    }

    void waitLoop()
    {
        void *tag = nullptr;
        bool good = false;
        while (queue.Next(&tag, &good)) {
            const std::unique_ptr<ConnectWait> wait(static_cast<ConnectWait *>(tag));
            wait->done(good);
        }
    }

    std::shared_ptr<grpc::Channel> channelTo(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        auto &channel = channels[address];
        if (channel == nullptr) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectFirstMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectFirstMs);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMostMs);
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
            channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        }
        return channel;
    }

    std::string key;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;
    grpc::CompletionQueue queue;
    std::thread waiter;
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
    unary->context.AddMetadata(ClusterKeyMetadataName, m_impl->key);
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
    unary->context.AddMetadata(ClusterKeyMetadataName, m_impl->key);
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
        node::ConfigEntriesReceived read;
        for (const std::string &text : unary->reply.entries()) {
            auto entry = config::parseLogEntry(text);
            if (entry) {
                read.entries.push_back(std::move(entry.value()));
            }
        }
        done(std::move(read));
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
    auto wait = std::make_unique<ConnectWait>();
    wait->done = [this, address, deadline, done = std::move(done)](bool changed) mutable {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::system_clock::now());
        if (!changed || left.count() <= 0) {
            done(m_impl->channelTo(address)->GetState(false) == GRPC_CHANNEL_READY);
            return;
        }
        connect(address, left, std::move(done));
    };
    channel->NotifyOnStateChange(state, deadline, &m_impl->queue, wait.release());
}

std::shared_ptr<ForwardStream> Client::forward(const std::string &address, const ForwardCall &call)
{
    auto reader = std::make_shared<ForwardReader>();
    wire::ForwardRequest &out = reader->request;
    out.set_version(ProtocolVersion);
    out.mutable_origin()->set_id(call.origin.id.text);
    out.mutable_origin()->set_incarnation(call.origin.incarnation.value);
    out.set_hops(1);
    out.set_method(call.request.method);
    out.set_target(call.request.target);
    for (const auto &[name, value] : call.request.headers) {
        auto *header = out.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    out.set_body(call.request.body);
    out.set_deadline_left_ms(call.timeLeft.count());
    out.set_config_revision(call.configRevision.value);
    out.set_decision_id(call.decisionId.text);
    out.set_region(call.originRegion.text);
    out.set_attempt_id(call.attemptId.text);
    out.set_via(call.via);
    const auto stub = wire::Peer::NewStub(m_impl->channelTo(address));
    reader->start(*stub, m_impl->key, call.timeLeft, reader);
    return std::make_shared<ForwardHandle>(std::move(reader));
}

} // namespace arbutus::peer
