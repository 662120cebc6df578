#include "runtime/settings/document.h"

#include <iterator>

#include "json/bounded_json.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Counts the lines consumed by the parser.
class LineCountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCountingIterator(const char* position, std::size_t* line)
      : position_(position), line_(line) {}

  reference operator*() const { return *position_; }
  LineCountingIterator& operator++() {
    if (*position_ == '\n') ++*line_;
    ++position_;
    return *this;
  }
  friend bool operator!=(const LineCountingIterator& a,
                         const LineCountingIterator& b) {
    return a.position_ != b.position_;
  }

 private:
  const char* position_;
  std::size_t* line_;
};

// Records the line of each top-level key and reports duplicate keys.
class KeyLineRecorder : public nlohmann::json_sax<json> {
 public:
  KeyLineRecorder(const std::size_t* line, SettingsDocument* document,
                  std::vector<SettingsError>* errors)
      : line_(line), document_(document), errors_(errors) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override {
    ++depth_;
    return true;
  }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t) override {
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool key(string_t& name) override {
    if (depth_ != 1) return true;
    const auto [it, is_new] = document_->lines.emplace(name, *line_);
    if (!is_new) {
      errors_->push_back(
          {name, *line_,
           "a duplicate key (first in line " + std::to_string(it->second) + ")",
           "each key once", "remove one of the two entries"});
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string& token,
                   const nlohmann::detail::exception&) override {
    errors_->push_back({"", *line_, "invalid JSON near '" + token + "'",
                        "one JSON object; comments are // and /* */",
                        "look for a missing comma, quote or bracket here or in "
                        "the line before"});
    return false;
  }

 private:
  const std::size_t* line_;
  SettingsDocument* document_;
  std::vector<SettingsError>* errors_;
  int depth_ = 0;
};

}  // namespace

SettingsDocument ReadDocument(std::string_view text,
                              std::vector<SettingsError>* errors) {
  SettingsDocument document;
  std::size_t line = 1;
  KeyLineRecorder recorder(&line, &document, errors);
  const char* end = text.data() + text.size();
  const bool is_json = json::sax_parse(
      LineCountingIterator(text.data(), &line),
      LineCountingIterator(end, &line), &recorder, json::input_format_t::json,
      /*strict=*/true, /*ignore_comments=*/true);
  if (!is_json) return document;
  auto parsed = ParseBoundedJson(text, JsonComments::kIgnored);
  if (!parsed) {
    errors->push_back({"", 1, parsed.error().message, "a short JSON object",
                       "check that this is the settings file"});
    return document;
  }
  json& values = parsed.value();
  if (!values.is_object()) {
    errors->push_back({"", 1, std::string("a JSON ") + values.type_name(),
                       "one JSON object", "put the keys between { and }"});
    return document;
  }
  document.values = std::move(values);
  return document;
}

std::size_t FindKeyLine(const SettingsDocument& document,
                        const std::string& key) {
  const auto it = document.lines.find(key);
  return it == document.lines.end() ? 0 : it->second;
}

}  // namespace dottereltrack
