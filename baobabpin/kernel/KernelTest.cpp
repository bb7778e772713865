#include "baobabpin/kernel/Kernel.h"

#include <doctest/doctest.h>

namespace baobabpin::kernel {
namespace {

struct Recorder : Service {
  Recorder(std::string name, std::string &journal, bool fails = false)
      : Name(std::move(name)), Journal(journal), Fails(fails) {}
  std::string_view name() const override { return Name; }
  base::Result<void> start(Kernel &) override {
    if (Fails)
      return base::fail(base::ErrorType::Internal, "cannot start");
    Journal += "+" + Name;
    return {};
  }
  void stop() override { Journal += "-" + Name; }

  std::string Name;
  std::string &Journal;
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

TEST_CASE("services start in order and stop in reverse") {
  std::string journal;
  {
    Kernel kernel("test");
    kernel.add(std::make_unique<Recorder>("a", journal));
    kernel.add(std::make_unique<Recorder>("b", journal));
    CHECK(startsAll(kernel));
    CHECK(kernel.find<Recorder>("b").Name == "b");
  }
  CHECK(journal == "+a+b-b-a");
}

TEST_CASE("a failed start stops what had started") {
  std::string journal;
  Kernel kernel("test");
  kernel.add(std::make_unique<Recorder>("a", journal));
  kernel.add(std::make_unique<Recorder>("b", journal, true));
  CHECK_FALSE(startsAll(kernel));
  CHECK(journal == "+a-a");
}

} // namespace
} // namespace baobabpin::kernel
