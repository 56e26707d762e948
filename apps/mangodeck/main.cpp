#include <fmt/format.h>

int main() {
  fmt::print(stderr, "mangodeck: not wired yet\n");
  return 1;
}
