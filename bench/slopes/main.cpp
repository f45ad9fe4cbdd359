// Measures what state and control cost at several sizes. Prints one point a
// line; tools/slopes fits lines and compares them with the limits.
#include "bench/slopes/slopes.hpp"

int main() {
  camphormux::bench::MeasureState();
  camphormux::bench::MeasureControl();
  return 0;
}
