// baobabpinctl: the operators' client.

#include "baobabpin/ctl/Run.h"

#include <iostream>

int main(int argc, char **argv) {
  return static_cast<int>(
      baobabpin::ctl::run(argc, argv, std::cout, std::cerr));
}
