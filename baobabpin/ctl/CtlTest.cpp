#include "baobabpin/ctl/Run.h"
#include "baobabpin/operators/FakeBackend.h"
#include "baobabpin/operators/ResourceService.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace baobabpin::ctl {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using operators::FakeBackend;
using operators::OperatorSettings;
using operators::ResourceService;
using resources::ResourceKind;

const resources::ResourceId StopId{ResourceKind::PlannedStop, "stop"};

/// Two nodes that share one store and one loop, and a directory for files.
class Story {
public:
  explicit Story(OperatorSettings settings = {.Listen = "127.0.0.1:0",
                                              .ClearText = true}) {
    fs::remove_all(Directory);
    fs::create_directories(Directory);
    for (auto &it : Nodes) {
      it = std::make_unique<ResourceService>(settings, Backend);
      base::handleFailure([&] { return it->start(Kernel); },
                          [](const base::Failure &e) { FAIL(e.Detail); });
      Ports.push_back(std::to_string(it->port()));
    }
    Thread = std::thread([this] { Kernel.loop().run(); });
  }
  ~Story() {
    Kernel.loop().post([this] {
      for (auto &it : Nodes)
        it->stop();
      Kernel.loop().stop();
    });
    Thread.join();
    fs::remove_all(Directory);
  }

  void onLoop(const std::function<void()> &work) {
    std::promise<void> done;
    Kernel.loop().post([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }
  std::string file(const std::string &name, const json &content) {
    std::ofstream(Directory / name) << content.dump();
    return (Directory / name).string();
  }
  ExitCode ctl(std::vector<std::string> words) {
    words.insert(words.begin(), "baobabpinctl");
    words.emplace_back("--clear-text");
    return toNodes(std::move(words));
  }
  ExitCode toNodes(std::vector<std::string> words) {
    for (const auto &it : Ports)
      words.push_back("--server=127.0.0.1:" + it);
    return plain(words);
  }
  ExitCode plain(const std::vector<std::string> &words) {
    std::vector<const char *> argv;
    for (const auto &it : words)
      argv.push_back(it.c_str());
    std::ostringstream out;
    std::ostringstream err;
    ExitCode code = run(static_cast<int>(argv.size()), argv.data(), out, err);
    Out = out.str();
    Err = err.str();
    return code;
  }

  FakeBackend Backend;
  std::array<std::unique_ptr<ResourceService>, 2> Nodes;
  std::vector<std::string> Ports;
  std::string Out;
  std::string Err;
  fs::path Directory =
      fs::temp_directory_path() / ("ctl-test-" + std::to_string(getpid()));

private:
  kernel::Kernel Kernel{"node"};
  std::thread Thread;
};

json stop(int deadline, const std::string &target = "n1",
          const std::string &kind = "node") {
  return {
      {"kind", "PlannedStop"},
      {"name", "stop"},
      {"spec",
       {{"target_kind", kind}, {"target", target}, {"deadline_s", deadline}}}};
}

json group(const std::string &name, int port) {
  return {{"kind", "DatabaseGroup"},
          {"name", name},
          {"spec",
           {{"customer", "c"},
            {"database", "d"},
            {"slots", 2},
            {"connections", 15},
            {"servers",
             {{{"id", name + "-a"},
               {"address", "127.0.0.1:" + std::to_string(port)},
               {"availability_zone", "z"}}}}}}};
}

TEST_CASE("apply validates everything before it changes anything") {
  Story story;
  int expectedWrites = 0;
  SUBCASE("several files, and several resources in one") {
    std::string first = story.file("1.json", stop(5, "g-a", "server"));
    story.file("2.json", json::array({group("g", 1), group("h", 2)}));
    CHECK(story.ctl({"apply", "-f", story.Directory.string()}) == ExitCode::Ok);
    CHECK(story.ctl({"apply", "-f", first}) == ExitCode::Ok);
    CHECK(story.Out == "PlannedStop/stop unchanged, version 3\n");
    expectedWrites = 3;
  }
  SUBCASE("a wrong field in one of the files") {
    story.file("1.json", group("g", 1));
    story.file("2.json", stop(0));
    CHECK(story.ctl({"apply", "-f", story.Directory.string()}) ==
          ExitCode::Failed);
    CHECK(story.Err.find("2.json: spec.deadline_s: 0 is out of range; "
                         "accepted: integer 1..3600") != std::string::npos);
  }
  SUBCASE("resources that contradict each other") {
    story.file("1.json", json::array({group("g", 1), group("h", 1)}));
    CHECK(story.ctl({"apply", "-f", story.Directory.string()}) ==
          ExitCode::Failed);
    CHECK(story.Err.find("DatabaseGroup/h: spec.servers[0].address") !=
          std::string::npos);
  }
  SUBCASE("one resource in two files, an unknown kind, an unknown key") {
    story.file("1.json", stop(5));
    std::string second = story.file("2.json", stop(6));
    CHECK(story.ctl({"apply", "-f", story.Directory.string()}) ==
          ExitCode::Failed);
    json unknown = stop(5);
    unknown["kind"] = "Party";
    story.file("2.json", unknown);
    CHECK(story.ctl({"apply", "-f", second}) == ExitCode::Failed);
    CHECK(story.Err.find("unknown_kind") != std::string::npos);
    unknown = stop(5);
    unknown["extra"] = 1;
    story.file("2.json", unknown);
    CHECK(story.ctl({"apply", "-f", second}) == ExitCode::Failed);
  }
  SUBCASE("a file that is based on another version") {
    json based = stop(5);
    based["version"] = 7;
    story.file("1.json", group("g", 1));
    story.file("2.json", based);
    CHECK(story.ctl({"apply", "-f", story.Directory.string()}) ==
          ExitCode::Conflict);
  }
  CHECK(story.Backend.Writes == expectedWrites);
}

TEST_CASE("a change whose answer is lost takes effect once") {
  Story story;
  std::string file = story.file("stop.json", stop(5));
  SUBCASE("the node ends after the write and before its answer") {
    std::shared_ptr<void> handle;
    story.onLoop([&] {
      handle = story.Backend.subscribe(
          [&](const auto &) { story.Nodes[0]->stop(); });
    });
    CHECK(story.ctl({"apply", "-f", file}) == ExitCode::Ok);
    CHECK(story.Out == "PlannedStop/stop created, version 1\n");
    story.onLoop([&] { handle.reset(); });
  }
  SUBCASE("the store's answer is lost and the write is not visible") {
    story.onLoop([&] { story.Backend.LoseNextRequest = true; });
    CHECK(story.ctl({"apply", "-f", file}) == ExitCode::Ok);
  }
  SUBCASE("the store's answer is lost after the write") {
    story.onLoop([&] { story.Backend.LoseNextAnswer = true; });
    CHECK(story.ctl({"apply", "-f", file}) == ExitCode::Ok);
  }
  CHECK(story.Backend.Writes == 1);
}

TEST_CASE("exit codes tell scripts what happened") {
  Story story;
  std::string file = story.file("stop.json", stop(5));

  SUBCASE("usage") {
    CHECK(story.ctl({"party"}) == ExitCode::Usage);
    CHECK(story.ctl({"get", "PlannedStop"}) == ExitCode::Usage);
    CHECK(story.ctl({"list", "--output", "xml"}) == ExitCode::Usage);
    CHECK(story.ctl({"list", "--no-such-option"}) == ExitCode::Usage);
    CHECK(story.plain({"baobabpinctl", "list", "--server", "127.0.0.1:1"}) ==
          ExitCode::Usage);
    CHECK(story.plain({"baobabpinctl", "--help"}) == ExitCode::Ok);
  }
  SUBCASE("not found") {
    CHECK(story.ctl({"get", "PlannedStop", "x"}) == ExitCode::NotFound);
    CHECK(story.ctl({"delete", "PlannedStop", "x"}) == ExitCode::NotFound);
    CHECK(story.ctl({"watch", "PlannedStop", "x", "--until-in-force"}) ==
          ExitCode::NotFound);
  }
  SUBCASE("no node answers") {
    CHECK(story.plain({"baobabpinctl", "list", "--clear-text", "--server",
                       "127.0.0.1:1"}) == ExitCode::Unavailable);
  }
  SUBCASE("the store does not answer") {
    story.onLoop([&] { story.Backend.Down = true; });
    CHECK(story.ctl({"apply", "-f", file}) == ExitCode::Unavailable);
    CHECK(story.ctl({"list"}) == ExitCode::Ok);
  }
  SUBCASE("a node is down and the next one answers") {
    story.onLoop([&] { story.Nodes[0]->stop(); });
    CHECK(story.ctl({"apply", "-f", file}) == ExitCode::Ok);
    CHECK(story.ctl({"get", "PlannedStop", "stop"}) == ExitCode::Ok);
  }
  SUBCASE("conflict") {
    CHECK(story.ctl({"apply", "-f", file, "--expected-version", "9"}) ==
          ExitCode::Conflict);
  }
}

TEST_CASE("operators and viewers are told apart by their certificates") {
  std::string dir = BAOBABPIN_TEST_CERTIFICATES;
  Story story({"127.0.0.1:0", false, dir + "/ours/ca.pem",
               dir + "/ours/node.pem", dir + "/ours/node.key"});
  std::string file = story.file("stop.json", stop(5));
  auto as = [&](const std::string &who, std::vector<std::string> words) {
    words.insert(words.begin(), "baobabpinctl");
    words.insert(words.end(),
                 {"--ca", dir + "/ours/ca.pem", "--cert", dir + who + ".pem",
                  "--key", dir + who + ".key"});
    return story.toNodes(words);
  };
  CHECK(as("/ours/viewer", {"apply", "-f", file}) == ExitCode::Failed);
  CHECK(story.Err.find("permission_denied") != std::string::npos);
  CHECK(as("/foreign/operator", {"apply", "-f", file}) ==
        ExitCode::Unavailable);
  CHECK(story.Backend.Writes == 0);
  CHECK(as("/ours/operator", {"apply", "-f", file}) == ExitCode::Ok);
  CHECK(as("/ours/viewer", {"get", "PlannedStop", "stop"}) == ExitCode::Ok);
}

TEST_CASE("an operator learns when a change is in force") {
  Story story;
  std::string file = story.file("stop.json", stop(5));
  SUBCASE("after the last node has confirmed, though one node goes away") {
    auto code = std::async(std::launch::async, [&] {
      return story.ctl({"apply", "-f", file, "--until-in-force"});
    });
    bool isWritten = false;
    while (!isWritten)
      story.onLoop([&] { isWritten = story.Backend.Writes == 1; });
    bool isWatching = false;
    while (!isWatching)
      story.onLoop([&] { isWatching = !story.Backend.Observers->empty(); });
    story.onLoop([&] { story.Nodes[0]->stop(); });
    story.onLoop([&] { story.Backend.confirmAll(); });
    CHECK(code.get() == ExitCode::Ok);
    CHECK(story.Out.find("version 1 in force") != std::string::npos);
    CHECK(story.ctl({"watch", "PlannedStop", "stop", "--until-in-force"}) ==
          ExitCode::Ok);
  }
  SUBCASE("or which nodes have not, and why") {
    CHECK(story.ctl({"apply", "-f", file, "--until-in-force", "--timeout",
                     "0.5"}) == ExitCode::TimedOut);
    CHECK(story.Err.find("node-2 pending") != std::string::npos);
  }
}

TEST_CASE("the examples of both deployments are accepted") {
  Story story;
  std::string examples = BAOBABPIN_EXAMPLES;
  for (const char *it : {"/bukhan-grip", "/lankapura"}) {
    CAPTURE(it);
    CHECK(story.ctl({"apply", "-f", examples + it}) == ExitCode::Ok);
    CHECK(story.ctl({"validate", "-f", examples + it + "/planned-stops"}) ==
          ExitCode::Ok);
  }
}

TEST_CASE("an operator sees what would change and what is stored") {
  Story story;
  CHECK(story.ctl({"apply", "-f", story.file("stop.json", stop(5))}) ==
        ExitCode::Ok);
  std::string file = story.file("stop.json", stop(6));
  CHECK(story.ctl({"diff", "-f", file}) == ExitCode::Ok);
  CHECK(story.Out == "PlannedStop/stop\n- deadline_s: 5\n+ deadline_s: 6\n");
  CHECK(story.ctl({"validate", "-f", file}) == ExitCode::Ok);
  CHECK(story.ctl({"list", "-o", "json"}) == ExitCode::Ok);
  CHECK(json::parse(story.Out)[0]["spec"]["deadline_s"] == 5);
  CHECK(story.ctl({"delete", "PlannedStop", "stop"}) == ExitCode::Ok);
  CHECK(story.Backend.versionOf(StopId) == 0);
  CHECK(story.ctl({"timeline"}) == ExitCode::Ok);
  CHECK(story.Out.find("deletion_accepted") != std::string::npos);
}

} // namespace
} // namespace baobabpin::ctl
