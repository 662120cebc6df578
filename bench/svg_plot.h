#pragma once

#include <string>
#include <vector>

namespace dottereltrack::bench {

// One row of a bar chart. Bars longer than the chart are truncated; the label
// shows the full value.
struct Bar {
  std::string label;
  double value = 0;
  // Position of the limit mark; zero for no mark.
  double bound = 0;
  friend bool operator==(const Bar&, const Bar&) = default;
};

// Returns a horizontal bar chart with an axis from zero to `end`, as SVG.
std::string BarChart(const std::string& title, const std::vector<Bar>& bars,
                     double axis_end);

}  // namespace dottereltrack::bench
