// Measures processor time, memory and bytes of the replicated state and the
// controller at several fleet sizes. Prints one tab-separated point per line;
// tools/slopes fits a line through each series and compares it with the limit.
#include "bench/slopes/slopes.hpp"

int main() {
  camphormux::bench::MeasureState();
  camphormux::bench::MeasureControl();
  return 0;
}
