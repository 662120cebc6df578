#include "support/json_mutation.h"

#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <vector>

namespace dottereltrack::testing {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxMutations = 3;
// More values than an item may have.
constexpr std::size_t kRepetitions = 30'000;
constexpr std::size_t kNestingLevels = 5'000;

std::string Nested(const std::string& opening, const std::string& closing) {
  std::string text;
  for (std::size_t n = 0; n < kNestingLevels; ++n) text += opening;
  text += "0";
  for (std::size_t n = 0; n < kNestingLevels; ++n) text += closing;
  return text;
}

// JSON texts that the library cannot represent or serialize. The tree holds
// placeholders for them.
const std::vector<std::string>& RawTexts() {
  static const std::vector<std::string> texts = {
      "1e999",
      "-1e999",
      "18446744073709551616",
      "123456789012345678901234567890",
      Nested("[", "]"),
      Nested(R"({"a":)", "}"),
      R"({"a":1,"a":2})"};
  return texts;
}

std::string Placeholder(std::size_t n) {
  return "@raw" + std::to_string(n) + "@";
}

std::string ReplacePlaceholders(std::string text) {
  for (std::size_t n = 0; n < RawTexts().size(); ++n) {
    const std::string quoted = "\"" + Placeholder(n) + "\"";
    for (std::size_t at = text.find(quoted); at != std::string::npos;
         at = text.find(quoted)) {
      text.replace(at, quoted.size(), RawTexts()[n]);
    }
  }
  return text;
}

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t n) { return random_() % n; }

  json OddValue() {
    const std::vector<json> values = {nullptr,
                                      true,
                                      -1,
                                      0,
                                      1.5,
                                      1e300,
                                      INT64_MAX,
                                      INT64_MIN,
                                      "",
                                      "x",
                                      "10.0.0.1:65536",
                                      "\xEF\xBF\xBF",
                                      json::array(),
                                      json::object(),
                                      UINT64_MAX,
                                      json::array({1, "x"})};
    const std::size_t n = Below(values.size() + RawTexts().size());
    if (n < values.size()) return values[n];
    return Placeholder(n - values.size());
  }

  void MutateOneOf(json* root) {
    std::vector<json*> values;
    Collect(root, &values);
    json* value = values[Below(values.size())];
    switch (Below(5)) {
      case 0:
        *value = json::array({*value});
        return;
      case 1:
        Shrink(value);
        return;
      case 2:
        if (!value->is_array()) break;
        value->insert(value->end(), kRepetitions, 0);
        return;
      default:
        break;
    }
    *value = OddValue();
  }

 private:
  static void Collect(json* value, std::vector<json*>* out) {
    out->push_back(value);
    if (!value->is_structured()) return;
    for (json& it : *value) Collect(&it, out);
  }

  void Shrink(json* value) {
    if (!value->is_structured() || value->empty()) {
      *value = nullptr;
      return;
    }
    auto it = value->begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Below(value->size())));
    value->erase(it);
  }

  std::mt19937_64 random_;
};

}  // namespace

std::string MutateJson(const std::string& text, std::uint64_t seed) {
  json value = json::parse(text);
  Mutator mutator(seed);
  const std::size_t count = 1 + mutator.Below(kMaxMutations);
  for (std::size_t n = 0; n < count; ++n) mutator.MutateOneOf(&value);
  return ReplacePlaceholders(
      value.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::string DamageText(std::string text, std::uint64_t seed) {
  Mutator mutator(seed);
  const std::size_t count = 1 + mutator.Below(kMaxMutations);
  for (std::size_t n = 0; n < count && !text.empty(); ++n) {
    const std::size_t at = mutator.Below(text.size());
    switch (mutator.Below(4)) {
      case 0:
        text[at] = static_cast<char>(mutator.Below(256));
        break;
      case 1:
        text.insert(at, 1, "[]{}\",:\\1e"[mutator.Below(10)]);
        break;
      case 2:
        text.erase(at, 1 + mutator.Below(8));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

}  // namespace dottereltrack::testing
