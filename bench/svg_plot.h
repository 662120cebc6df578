#pragma once

#include <string>
#include <vector>

namespace dottereltrack::bench {

// One row of a bar chart. Values beyond the chart's end are cut off there, and
// the label states them.
struct Bar {
  std::string label;
  double value = 0;
  // Marks the bound; zero for none.
  double bound = 0;
  friend bool operator==(const Bar&, const Bar&) = default;
};

// A horizontal bar chart from zero to `end`, as SVG.
std::string BarChart(const std::string& title, const std::vector<Bar>& bars,
                     double end);

}  // namespace dottereltrack::bench
