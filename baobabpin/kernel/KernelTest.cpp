#include "baobabpin/kernel/Kernel.h"

#include <doctest/doctest.h>

namespace baobabpin::kernel {
namespace {

/// Appends "+name" when it starts and "-name" when it stops.
struct RecordingService : Service {
  RecordingService(std::string name, std::string &calls, bool fails = false)
      : Name(std::move(name)), Calls(calls), Fails(fails) {}
  std::string_view name() const override { return Name; }
  base::Result<void> start(Kernel &) override {
    if (Fails)
      return base::fail(base::ErrorType::Internal, "cannot start");
    Calls += "+" + Name;
    return {};
  }
  void stop() override { Calls += "-" + Name; }

  std::string Name;
  std::string &Calls;
  bool Fails;
};

bool startsAll(Kernel &kernel) {
  return base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [](const base::Failure &) { return false; });
}

TEST_CASE("services start in the order of add() and stop in reverse order") {
  std::string calls;
  {
    Kernel kernel("test");
    kernel.add(std::make_unique<RecordingService>("a", calls));
    kernel.add(std::make_unique<RecordingService>("b", calls));
    CHECK(startsAll(kernel));
    CHECK(kernel.find<RecordingService>("b").Name == "b");
  }
  CHECK(calls == "+a+b-b-a");
}

TEST_CASE("if a service fails to start, the started services are stopped") {
  std::string calls;
  Kernel kernel("test");
  kernel.add(std::make_unique<RecordingService>("a", calls));
  kernel.add(std::make_unique<RecordingService>("b", calls, true));
  CHECK_FALSE(startsAll(kernel));
  CHECK(calls == "+a-a");
}

} // namespace
} // namespace baobabpin::kernel
