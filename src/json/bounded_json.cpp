#include "json/bounded_json.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "json/too_large.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Builds the tree of a text within limits.
class BoundedTreeBuilder : public nlohmann::json_sax<json> {
 public:
  explicit BoundedTreeBuilder(const JsonLimits& limits) : limits_(limits) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t&) override {
    return Add(value);
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t&) override { return Add(nullptr); }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    if (skipped_levels_ == 0) key_ = std::move(name);
    return true;
  }
  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception& error) override {
    has_number_overflow_ = error.id == kNumberOverflowErrorId;
    error_ = NotJsonError(position);
    return false;
  }

  json TakeRoot() { return std::move(root_); }
  const std::optional<JsonError>& Error() const { return error_; }
  bool HasNumberOverflow() const { return has_number_overflow_; }

 private:
  // Counts a value of the tree. Returns false if the text exceeds the limit.
  bool Count() {
    if (++value_count_ <= limits_.max_values) return true;
    error_ = TooManyValuesError(limits_.max_values);
    return false;
  }

  // Returns the place of a new value, or null if its item has become too large
  // and was replaced.
  json* MakeSlot() {
    if (open_.size() == kItemDepth) item_value_count_ = 0;
    if (open_.size() >= kItemDepth &&
        ++item_value_count_ > limits_.max_item_values) {
      DropItem();
      return nullptr;
    }
    if (open_.empty()) return &root_;
    json& parent = *open_.back();
    json* slot = nullptr;
    if (parent.is_array()) {
      parent.push_back(nullptr);
      slot = &parent.back();
    } else {
      slot = &parent[key_];
    }
    if (open_.size() == kItemDepth) item_ = slot;
    return slot;
  }

  // Replaces the current item by null and skips the rest of it.
  void DropItem() {
    skipped_levels_ = open_.size() - kItemDepth;
    open_.resize(kItemDepth);
    *item_ = nullptr;
  }

  bool Add(json value) {
    if (skipped_levels_ > 0) return true;
    if (!Count()) return false;
    if (json* slot = MakeSlot()) *slot = std::move(value);
    return true;
  }

  bool Open(json container) {
    if (skipped_levels_ > 0) {
      ++skipped_levels_;
      return true;
    }
    if (!Count()) return false;
    json* slot = MakeSlot();
    if (slot == nullptr || open_.size() == limits_.max_depth) {
      ++skipped_levels_;
      return true;
    }
    *slot = std::move(container);
    open_.push_back(slot);
    return true;
  }

  bool Close() {
    if (skipped_levels_ > 0) {
      --skipped_levels_;
    } else {
      open_.pop_back();
    }
    return true;
  }

  const JsonLimits& limits_;
  json root_;
  // Open arrays and objects, outermost first. A pointer stays valid because
  // nothing is added to a container while one of its elements is open.
  std::vector<json*> open_;
  std::string key_;
  json* item_ = nullptr;
  std::size_t value_count_ = 0;
  std::size_t item_value_count_ = 0;
  // Open containers that are not part of the tree.
  std::size_t skipped_levels_ = 0;
  std::optional<JsonError> error_;
  bool has_number_overflow_ = false;
};

bool Build(std::string_view text, JsonComments comments,
           BoundedTreeBuilder* builder) {
  return json::sax_parse(text.begin(), text.end(), builder,
                         json::input_format_t::json, /*strict=*/true,
                         comments == JsonComments::kIgnored);
}

}  // namespace

JsonResult<json> ParseBoundedJson(std::string_view text, JsonComments comments,
                                  const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return TooManyBytesError(limits.max_bytes);
  }
  BoundedTreeBuilder builder(limits);
  if (Build(text, comments, &builder)) return builder.TakeRoot();
  // The scan for numbers does not recognise comments.
  if (!builder.HasNumberOverflow() || comments == JsonComments::kIgnored) {
    return *builder.Error();
  }
  BoundedTreeBuilder second_builder(limits);
  if (Build(ReplaceTooLargeNumbers(std::string(text)), comments,
            &second_builder)) {
    return second_builder.TakeRoot();
  }
  return *second_builder.Error();
}

}  // namespace dottereltrack
