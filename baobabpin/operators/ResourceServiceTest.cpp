#include "baobabpin/operators/ResourceService.h"
#include "baobabpin/operators/FakeBackend.h"
#include "baobabpin/proto/operators.grpc.pb.h"

#include <doctest/doctest.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace baobabpin::operators {
namespace {

using nlohmann::json;
using Stub = proto::Resources::Stub;

const std::string Certificates = BAOBABPIN_TEST_CERTIFICATES;
const std::string GoodStop =
    R"({"target_kind": "node", "target": "n1", "deadline_s": 5})";

std::string readAll(const std::string &path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/// A node with a fake backend; the client runs on a thread of its own.
class Story {
public:
  explicit Story(bool clearText) : ClearText(clearText) {
    OperatorSettings settings{.Listen = "127.0.0.1:0", .ClearText = clearText};
    settings.CaFile = Certificates + "/ours/ca.pem";
    settings.CertificateFile = Certificates + "/ours/node.pem";
    settings.KeyFile = Certificates + "/ours/node.key";
    Service = std::make_unique<ResourceService>(settings, Backend);
    base::handleFailure([&] { return Service->start(Kernel); },
                        [](const base::Failure &it) { FAIL(it.Detail); });
  }

  /// Runs the loop until \p client, on another thread, has returned.
  void run(const std::function<void()> &client) {
    std::thread thread([&] {
      client();
      Kernel.loop().post([&] { Kernel.loop().stop(); });
    });
    Kernel.loop().run();
    thread.join();
  }

  /// Runs \p work on the loop, from the client's thread.
  void onLoop(const std::function<void()> &work) {
    std::promise<void> done;
    Kernel.loop().post([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  std::unique_ptr<Stub> connect(const std::string &who = "operator",
                                const std::string &authority = "ours") const {
    auto credentials = grpc::InsecureChannelCredentials();
    if (!ClearText) {
      std::string dir = Certificates + "/" + authority + "/";
      grpc::SslCredentialsOptions options;
      options.pem_root_certs = readAll(Certificates + "/ours/ca.pem");
      if (!who.empty()) {
        options.pem_cert_chain = readAll(dir + who + ".pem");
        options.pem_private_key = readAll(dir + who + ".key");
      }
      credentials = grpc::SslCredentials(options);
    }
    return proto::Resources::NewStub(grpc::CreateChannel(
        "127.0.0.1:" + std::to_string(Service->port()), credentials));
  }

  FakeBackend Backend;

private:
  bool ClearText;
  kernel::Kernel Kernel{"node-1"};
  std::unique_ptr<ResourceService> Service;
};

proto::ApplyRequest makeApply(const std::string &spec,
                              const std::string &name = "stop") {
  proto::ApplyRequest request;
  request.mutable_resource()->set_kind("PlannedStop");
  request.mutable_resource()->set_name(name);
  request.mutable_resource()->set_spec(spec);
  return request;
}

struct Answer {
  grpc::Status Status;
  proto::ApplyReply Reply;
};

Answer apply(Stub &stub, const proto::ApplyRequest &request) {
  grpc::ClientContext context;
  Answer answer;
  answer.Status = stub.Apply(&context, request, &answer.Reply);
  return answer;
}

TEST_CASE("each refused change has a typed error and changes nothing") {
  Story story(true);
  auto stub = story.connect();
  auto refused = [&](const proto::ApplyRequest &request, const char *type) {
    Answer answer = apply(*stub, request);
    CHECK(answer.Status.ok());
    CHECK(answer.Reply.error().type() == type);
    return answer.Reply.error();
  };
  story.run([&] {
    auto request = makeApply(GoodStop);
    request.mutable_resource()->set_kind("PlannedParty");
    refused(request, "unknown_kind");

    request = makeApply(GoodStop);
    request.set_expected_version(7);
    CHECK(refused(request, "conflict").current_version() == 0);

    auto error = refused(
        makeApply(R"({"target_kind": "node", "target": "n", "deadline_s": 0})"),
        "invalid_resource");
    CHECK(error.field() == "spec.deadline_s");
    CHECK(error.accepted() == "integer 1..3600");

    error = refused(
        makeApply(
            R"({"target_kind": "server", "target": "n", "deadline_s": 5})"),
        "invalid_resource");
    CHECK(error.field() == "spec.target");

    refused(makeApply(GoodStop, "../escape"), "invalid_resource");
    refused(makeApply(std::string(1'000'001, ' ') + GoodStop),
            "request_too_large");
    Answer huge = apply(*stub, makeApply(std::string(5'000'000, ' ')));
    CHECK(huge.Status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED);
  });
  CHECK(story.Backend.Writes == 0);
}

TEST_CASE("rights come from the client certificate") {
  Story story(false);
  story.run([&] {
    SUBCASE("an operator may change") {
      auto stub = story.connect("operator");
      CHECK(apply(*stub, makeApply(GoodStop)).Reply.changed());
    }
    SUBCASE("a viewer may read, but not change") {
      auto stub = story.connect("viewer");
      CHECK(apply(*stub, makeApply(GoodStop)).Reply.error().type() ==
            "permission_denied");
      grpc::ClientContext context;
      proto::ListReply list;
      CHECK(stub->List(&context, {}, &list).ok());
      CHECK(list.error().type().empty());
      grpc::ClientContext deleting;
      proto::DeleteReply deleted;
      CHECK(stub->Delete(&deleting, {}, &deleted).ok());
      CHECK(deleted.error().type() == "permission_denied");
    }
    SUBCASE("a node's certificate grants nothing") {
      grpc::ClientContext context;
      proto::ListReply list;
      CHECK(story.connect("node")->List(&context, {}, &list).ok());
      CHECK(list.error().type() == "permission_denied");
    }
    SUBCASE("no certificate, or one of another authority") {
      CHECK_FALSE(apply(*story.connect(""), makeApply(GoodStop)).Status.ok());
      CHECK_FALSE(
          apply(*story.connect("operator", "foreign"), makeApply(GoodStop))
              .Status.ok());
    }
  });
  CHECK(story.Backend.Writes <= 1);
}

TEST_CASE("racing operators get one success and one conflict") {
  Story story(true);
  std::atomic<int> changed = 0;
  std::atomic<int> conflicts = 0;
  story.run([&] {
    std::vector<std::thread> operators;
    for (int i = 0; i < 8; ++i) {
      operators.emplace_back([&, i] {
        auto request = makeApply(GoodStop);
        request.mutable_resource()->set_spec(
            R"({"target_kind": "node", "target": "n1", "deadline_s": )" +
            std::to_string(i + 1) + "}");
        auto reply = apply(*story.connect(), request).Reply;
        changed += reply.changed();
        conflicts += reply.error().type() == "conflict";
      });
    }
    for (auto &it : operators)
      it.join();
  });
  CHECK(changed == 1);
  CHECK(conflicts == 7);
  CHECK(story.Backend.Writes == 1);
}

TEST_CASE("a watch streams changes in order until the client leaves") {
  Story story(true);
  auto stub = story.connect();
  story.run([&] {
    CHECK(apply(*stub, makeApply(GoodStop)).Reply.changed());
    grpc::ClientContext context;
    proto::WatchRequest request;
    request.set_kind("PlannedStop");
    auto stream = stub->Watch(&context, request);
    proto::WatchEvent event;
    CHECK(stream->Read(&event));
    CHECK(event.resource().version() == 1);
    CHECK(event.status().unconfirmed_size() == 1);
    CHECK(stream->Read(&event));
    CHECK(event.synced());

    story.onLoop([&] { story.Backend.confirmAll(); });
    CHECK(stream->Read(&event));
    CHECK(event.status().in_force());

    auto update = makeApply(GoodStop, "second");
    CHECK(apply(*stub, update).Reply.changed());
    CHECK(stream->Read(&event));
    CHECK(event.resource().name() == "second");
    CHECK(json::parse(event.resource().spec()) == json::parse(GoodStop));

    context.TryCancel();
    while (stream->Read(&event))
      ;
    CHECK(stream->Finish().error_code() == grpc::StatusCode::CANCELLED);
    // The server hears of the cancellation a moment after the client.
    bool isOpen = true;
    while (isOpen)
      story.onLoop([&] { isOpen = !story.Backend.Observers->empty(); });
  });
  CHECK(story.Backend.Observers->empty());
}

TEST_CASE("a node that stops ends its open watches") {
  auto story = std::make_unique<Story>(true);
  auto stub = story->connect();
  grpc::ClientContext context;
  proto::WatchRequest request;
  auto stream = stub->Watch(&context, request);
  story->run([&] {
    proto::WatchEvent event;
    CHECK(stream->Read(&event));
  });
  story.reset();
  proto::WatchEvent event;
  CHECK_FALSE(stream->Read(&event));
  CHECK_FALSE(stream->Finish().ok());
}

TEST_CASE("a set is validated as a whole") {
  Story story(true);
  auto stub = story.connect();
  proto::ValidateRequest request;
  proto::Resource &stop = *request.add_resources();
  stop.set_kind("PlannedStop");
  stop.set_name("s");
  stop.set_spec(
      R"({"target_kind": "primary", "target": "g", "deadline_s": 5})");
  auto validate = [&] {
    grpc::ClientContext context;
    proto::ValidateReply reply;
    CHECK(stub->Validate(&context, request, &reply).ok());
    return reply.error();
  };
  story.run([&] {
    auto error = validate();
    CHECK(error.type() == "invalid_resource");
    CHECK(error.kind() == "PlannedStop");
    CHECK(error.name() == "s");

    // The group may come later in the request: kinds have an order.
    proto::Resource &group = *request.add_resources();
    group.set_kind("DatabaseGroup");
    group.set_name("g");
    group.set_spec(R"({"customer": "c", "database": "d", "slots": 2,
      "connections": 15, "servers": [{"id": "a", "address": "127.0.0.1:1",
      "availability_zone": "z"}]})");
    CHECK(validate().type().empty());
  });
  CHECK(story.Backend.Writes == 0);
}

TEST_CASE("the time line holds the events of all nodes in one order") {
  Story story(true);
  story.Backend.PeerEvents.Events.push_back(
      {"node-2", {{1, 0}, "promotion_started", {{"group", "g"}}}});
  story.Backend.PeerEvents.Missing = {"node-3"};
  auto stub = story.connect();
  story.run([&] {
    CHECK(apply(*stub, makeApply(GoodStop)).Reply.changed());
    grpc::ClientContext context;
    proto::TimelineReply reply;
    CHECK(stub->Timeline(&context, {}, &reply).ok());
    CHECK(reply.events_size() == 2);
    CHECK(reply.events(0).process() == "node-2");
    CHECK(reply.events(1).name() == "resource_applied");
    CHECK(reply.missing_size() == 1);
  });
}

TEST_CASE("settings that contradict themselves are refused") {
  auto accepts = [](const json &value) {
    return base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(parseOperatorSettings(value));
          return true;
        },
        [](const base::Failure &failure) {
          CHECK(failure.Type == base::ErrorType::InvalidSettings);
          return false;
        });
  };
  json tls = {{"listen", "127.0.0.1:1"},
              {"ca", "a"},
              {"certificate", "b"},
              {"key", "c"}};
  CHECK(accepts(tls));
  CHECK(accepts({{"listen", "127.0.0.1:1"}, {"clear_text", true}}));
  // Without certificates an endpoint must not fall back to clear text.
  CHECK_FALSE(accepts({{"listen", "127.0.0.1:1"}}));
  tls["clear_text"] = true;
  CHECK_FALSE(accepts(tls));
  tls["clear_text"] = "no";
  CHECK_FALSE(accepts(tls));
}

} // namespace
} // namespace baobabpin::operators
