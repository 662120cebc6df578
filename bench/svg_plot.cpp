#include "svg_plot.h"

#include <algorithm>
#include <cstdio>

namespace dottereltrack::bench {
namespace {

// Sizes in pixels.
constexpr int kRowHeight = 18;
constexpr int kLabelWidth = 270;
constexpr int kChartWidth = 420;
constexpr int kValueWidth = 70;
constexpr int kTitleHeight = 30;

template <typename... Args>
std::string Format(const char* format, Args... args) {
  char buf[512];
  std::snprintf(buf, sizeof(buf), format, args...);
  return buf;
}

std::string BarRow(const Bar& bar, int y, double axis_end) {
  const double scale = kChartWidth / axis_end;
  const double width = std::min(bar.value, axis_end) * scale;
  const bool exceeds_bound = bar.bound > 0 && bar.value > bar.bound;
  std::string row =
      Format("<text x='4' y='%d'>%s</text>\n", y + 13, bar.label.c_str());
  row +=
      Format("<rect x='%d' y='%d' width='%.1f' height='12' fill='%s'/>\n",
             kLabelWidth, y + 3, width, exceeds_bound ? "#c0504d" : "#4f81bd");
  if (bar.bound > 0) {
    const double x = kLabelWidth + bar.bound * scale;
    row +=
        Format("<line x1='%.1f' y1='%d' x2='%.1f' y2='%d' stroke='black'/>\n",
               x, y, x, y + kRowHeight);
  }
  row += Format("<text x='%d' y='%d'>%.3f</text>\n",
                kLabelWidth + kChartWidth + 6, y + 13, bar.value);
  return row;
}

}  // namespace

std::string BarChart(const std::string& title, const std::vector<Bar>& bars,
                     double axis_end) {
  const int rows = static_cast<int>(bars.size());
  std::string svg = Format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
      "font-family='sans-serif' font-size='12'>\n"
      "<rect width='100%%' height='100%%' fill='white'/>\n"
      "<text x='4' y='20' font-weight='bold'>%s</text>\n",
      kLabelWidth + kChartWidth + kValueWidth,
      kTitleHeight + rows * kRowHeight + 8, title.c_str());
  int y = kTitleHeight;
  for (const Bar& bar : bars) {
    svg += BarRow(bar, y, axis_end);
    y += kRowHeight;
  }
  return svg + "</svg>\n";
}

}  // namespace dottereltrack::bench
