#include "baobabpin/membership/MembershipService.h"

#include "baobabpin/membership/DatagramCodec.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <random>
#include <utility>

namespace baobabpin::membership {
namespace {

/// Half of the acknowledgement timeout, so that probes are late by half of it
/// at most.
constexpr base::Duration TickPeriod = 50ms;
/// Datagrams read in one go, so that a burst does not starve other work.
constexpr int ReadBatch = 64;
/// Holds more than a datagram may have, so that oversized ones are noticed.
constexpr std::size_t ReadBufferBytes = 2048;
/// Bursts of the whole fleet's gossip fit into the socket's buffer.
constexpr int SocketBufferBytes = 1 << 20;

/// Reads "address:port" with an IPv4 number; port 0 is allowed.
bool parseAddress(const std::string &text, sockaddr_in &out) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, port);
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  return ec == std::errc() && ptr == end &&
         inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

std::string formatAddress(const sockaddr_in &address) {
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size());
  return std::string(buf.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

std::string eventName(const MemberChange &change) {
  if (change.Removed)
    return "member_removed";
  return "member_" + std::string(memberStateName(change.Record.State));
}

struct EventDeleter {
  void operator()(event *it) const { event_free(it); }
};

} // namespace

struct MembershipService::State {
  explicit State(MembershipSettings settings) : Settings(std::move(settings)) {}
  ~State() { closeSocket(); }

  MembershipSettings Settings;
  kernel::Kernel *Kernel = nullptr;
  MemberList List;
  int Socket = -1;
  std::unique_ptr<event, EventDeleter> Readable;
  kernel::Timer Ticker;

  std::vector<std::function<void(const MemberChange &)>> ChangeCallbacks;
  std::function<ConfigDigest()> DigestSource;
  std::function<void(const base::NodeId &, const ConfigDigest &)> DigestSink;
  std::function<void(const base::NodeId &, std::uint64_t)> AppliedSink;
  std::function<void()> HostLeavingSink;

  prometheus::Counter *SentBytes = nullptr;
  prometheus::Counter *SentDatagrams = nullptr;
  prometheus::Counter *ReceivedBytes = nullptr;
  prometheus::Counter *ReceivedDatagrams = nullptr;

  base::Result<void> openSocket();
  void closeSocket();
  void registerMetrics();
  void countDropped(std::string_view reason);
  void read();
  void handle(std::string_view bytes, const std::string &sender);
  void handleKind(const proto::Datagram &datagram);
  void send(Outgoing outgoing);
  void sendAll(std::vector<Outgoing> outgoing);
  void publishChanges();
  void runTick();
};

base::Result<void> MembershipService::State::openSocket() {
  const std::string &wanted = Settings.Self.GossipEndpoint;
  auto refuse = [&](const std::string &why) {
    closeSocket();
    return base::fail(base::ErrorType::InvalidSettings, why + " " + wanted);
  };
  sockaddr_in address{};
  if (!parseAddress(wanted, address))
    return refuse("not an IPv4 address and port:");
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int bytes = SocketBufferBytes;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
    return refuse("cannot bind UDP socket to");
  sockaddr_in bound{};
  socklen_t n = sizeof bound;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&bound), &n);
  Settings.Self.GossipEndpoint = formatAddress(bound);
  return {};
}

void MembershipService::State::closeSocket() {
  Readable.reset();
  if (Socket >= 0)
    close(std::exchange(Socket, -1));
}

void MembershipService::State::registerMetrics() {
  auto &metrics = Kernel->metrics();
  auto add = [&](const char *name, const char *help, const char *direction) {
    return &metrics.counter(name, help, {{"direction", direction}});
  };
  const char *bytes = "baobabpin_membership_bytes_total";
  const char *bytesHelp = "UDP payload of membership datagrams.";
  SentBytes = add(bytes, bytesHelp, "sent");
  ReceivedBytes = add(bytes, bytesHelp, "received");
  const char *datagrams = "baobabpin_membership_datagrams_total";
  const char *datagramsHelp = "Membership datagrams.";
  SentDatagrams = add(datagrams, datagramsHelp, "sent");
  ReceivedDatagrams = add(datagrams, datagramsHelp, "received");
}

void MembershipService::State::countDropped(std::string_view reason) {
  Kernel->metrics()
      .counter("baobabpin_membership_dropped_total",
               "Membership datagrams that were ignored.",
               {{"reason", std::string(reason)}})
      .Increment();
}

void MembershipService::State::read() {
  std::array<char, ReadBufferBytes> buf{};
  for (int n = 0; n < ReadBatch && Socket >= 0; ++n) {
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    ssize_t size = recvfrom(Socket, buf.data(), buf.size(), 0,
                            reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size < 0)
      return;
    ReceivedBytes->Increment(static_cast<double>(size));
    ReceivedDatagrams->Increment();
    handle({buf.data(), static_cast<std::size_t>(size)}, formatAddress(from));
  }
}

void MembershipService::State::handle(std::string_view bytes,
                                      const std::string &sender) {
  auto decoded = decodeDatagram(bytes, Settings.FleetSecret);
  if (decoded.Fault) {
    countDropped(datagramFaultName(*decoded.Fault));
    return;
  }
  const proto::Datagram &datagram = *decoded.Datagram;
  Kernel->log().observe({datagram.stamp_wall_us(), datagram.stamp_counter()});
  sendAll(receive(List, datagram, sender, Kernel->loop().now()));
  publishChanges();
  handleKind(datagram);
}

void MembershipService::State::handleKind(const proto::Datagram &datagram) {
  if (datagram.from() == List.Self.Node)
    return;
  if (datagram.has_digest() && DigestSink)
    DigestSink(datagram.from(), {datagram.digest().highest_revision(),
                                 datagram.digest().hash()});
  if (datagram.kind() == proto::Datagram::APPLIED_REVISION && AppliedSink)
    AppliedSink(datagram.from(), datagram.applied_revision());
  if (datagram.kind() == proto::Datagram::HOST_LEAVING && HostLeavingSink)
    HostLeavingSink();
}

void MembershipService::State::send(Outgoing outgoing) {
  proto::Datagram &datagram = outgoing.Datagram;
  kernel::EventStamp stamp = Kernel->log().stamp();
  datagram.set_stamp_wall_us(stamp.WallUs);
  datagram.set_stamp_counter(stamp.Counter);
  if (DigestSource) {
    ConfigDigest digest = DigestSource();
    datagram.mutable_digest()->set_highest_revision(digest.Revision);
    datagram.mutable_digest()->set_hash(digest.Hash);
  }
  std::string bytes = encodeDatagram(datagram, Settings.FleetSecret);
  sockaddr_in address{};
  if (bytes.size() > MaxDatagramBytes) {
    countDropped("too_large_to_send");
    return;
  }
  if (!parseAddress(outgoing.Endpoint, address) ||
      sendto(Socket, bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr *>(&address), sizeof address) < 0) {
    countDropped("not_sent");
    return;
  }
  SentBytes->Increment(static_cast<double>(bytes.size()));
  SentDatagrams->Increment();
}

void MembershipService::State::sendAll(std::vector<Outgoing> outgoing) {
  for (auto &it : outgoing)
    send(std::move(it));
}

void MembershipService::State::publishChanges() {
  for (const MemberChange &it : takeChanges(List)) {
    bool onlyUnfit = it.Previous == it.Record.State && !it.Removed;
    if (!onlyUnfit)
      Kernel->log().record(
          eventName(it),
          {{"node", it.Record.Node},
           {"zone", it.Record.Zone},
           {"incarnation", std::to_string(it.Record.Incarnation)},
           {"previous", it.Previous ? std::string(memberStateName(*it.Previous))
                                    : "unknown"}});
    for (const auto &callback : ChangeCallbacks)
      callback(it);
  }
}

void MembershipService::State::runTick() {
  sendAll(tick(List, Kernel->loop().now()));
  publishChanges();
}

MembershipService::MembershipService(MembershipSettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

MembershipService::~MembershipService() = default;

base::Result<void> MembershipService::start(kernel::Kernel &kernel) {
  Impl->Kernel = &kernel;
  if (Impl->Settings.FleetSecret.empty())
    return base::fail(base::ErrorType::InvalidSettings,
                      "the fleet secret is empty");
  BOOST_LEAF_CHECK(Impl->openSocket());
  Impl->registerMetrics();
  Impl->List = makeMemberList(Impl->Settings.Self, Impl->Settings.Seeds,
                              Impl->Settings.Timing, std::random_device{}(),
                              kernel.loop().now());
  Impl->Readable.reset(event_new(
      kernel.loop().base(), Impl->Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        static_cast<State *>(arg)->read();
      },
      Impl.get()));
  event_add(Impl->Readable.get(), nullptr);
  Impl->Ticker =
      kernel.loop().runEvery(TickPeriod, [this] { Impl->runTick(); });
  return {};
}

void MembershipService::stop() {
  Impl->Ticker.cancel();
  Impl->sendAll(farewell(Impl->List));
  Impl->closeSocket();
}

const MemberRecord &MembershipService::self() const { return Impl->List.Self; }

const std::map<base::NodeId, MemberEntry> &MembershipService::members() const {
  return Impl->List.Members;
}

const MemberRecord *MembershipService::find(const base::NodeId &node) const {
  if (node == Impl->List.Self.Node)
    return &Impl->List.Self;
  auto it = Impl->List.Members.find(node);
  return it == Impl->List.Members.end() ? nullptr : &it->second.Record;
}

void MembershipService::onChange(
    std::function<void(const MemberChange &)> callback) {
  Impl->ChangeCallbacks.push_back(std::move(callback));
}

void MembershipService::declareUnfit(const base::GroupName &group,
                                     base::Duration period) {
  membership::declareUnfit(Impl->List, group,
                           Impl->Kernel->loop().now() + period);
  Impl->publishChanges();
}

void MembershipService::withdrawUnfit(const base::GroupName &group) {
  membership::withdrawUnfit(Impl->List, group);
  Impl->publishChanges();
}

void MembershipService::declareLeaving() {
  membership::declareLeaving(Impl->List);
  Impl->publishChanges();
}

void MembershipService::setAppliedRevision(std::uint64_t revision) {
  Impl->List.Self.AppliedRevision = revision;
}

void MembershipService::reportUnresponsive(const base::NodeId &node) {
  Impl->sendAll(suspectAtOnce(Impl->List, node, Impl->Kernel->loop().now()));
  Impl->publishChanges();
}

void MembershipService::setDigestSource(std::function<ConfigDigest()> source) {
  Impl->DigestSource = std::move(source);
}

void MembershipService::onDigest(
    std::function<void(const base::NodeId &, const ConfigDigest &)> callback) {
  Impl->DigestSink = std::move(callback);
}

void MembershipService::sendConfigNotice(std::size_t count) {
  for (const MemberRecord *it : randomMembers(Impl->List, count))
    Impl->send({it->GossipEndpoint,
                makeDatagram(Impl->List, proto::Datagram::CONFIG_NOTICE)});
}

void MembershipService::sendAppliedRevision(const base::NodeId &to) {
  const MemberRecord *record = find(to);
  if (!record || to == Impl->List.Self.Node)
    return;
  auto datagram = makeDatagram(Impl->List, proto::Datagram::APPLIED_REVISION);
  datagram.set_applied_revision(Impl->List.Self.AppliedRevision);
  Impl->send({record->GossipEndpoint, std::move(datagram)});
}

void MembershipService::onAppliedRevision(
    std::function<void(const base::NodeId &, std::uint64_t)> callback) {
  Impl->AppliedSink = std::move(callback);
}

void MembershipService::sendHostLeaving(const std::string &host) {
  const MemberRecord &self = Impl->List.Self;
  if (self.Host == host && self.State == MemberState::Alive &&
      Impl->HostLeavingSink)
    Impl->HostLeavingSink();
  for (const auto &[node, entry] : Impl->List.Members) {
    const MemberRecord &record = entry.Record;
    if (record.Host != host || record.State != MemberState::Alive)
      continue;
    Impl->send({record.GossipEndpoint,
                makeDatagram(Impl->List, proto::Datagram::HOST_LEAVING)});
  }
}

void MembershipService::onHostLeaving(std::function<void()> callback) {
  Impl->HostLeavingSink = std::move(callback);
}

} // namespace baobabpin::membership
