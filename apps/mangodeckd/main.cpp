#include <fmt/format.h>

int main() {
  fmt::print(stderr, "mangodeckd: not wired yet\n");
  return 1;
}
