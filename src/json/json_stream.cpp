#include "json/json_stream.h"

#include <utility>

#include "json/too_large.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// Counts the values of a text and passes those within the limits on.
class BoundedStream : public nlohmann::json_sax<json> {
 public:
  BoundedStream(JsonStreamReader* reader, const JsonLimits& limits)
      : reader_(reader), limits_(limits) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override {
    return Add(std::int64_t{value});
  }
  bool number_unsigned(number_unsigned_t value) override {
    return Add(std::uint64_t{value});
  }
  bool number_float(number_float_t value, const string_t&) override {
    return Add(double{value});
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t&) override { return Add(nullptr); }
  bool start_object(std::size_t) override {
    return Open([this] { reader_->OnObject(); });
  }
  bool start_array(std::size_t) override {
    return Open([this] { reader_->OnArray(); });
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    if (skipped_levels_ == 0) reader_->OnKey(name);
    return true;
  }
  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception& error) override {
    has_number_overflow_ = error.id == kNumberOverflowErrorId;
    error_ = NotJsonError(position);
    return false;
  }

  const std::optional<JsonError>& Error() const { return error_; }
  bool HasNumberOverflow() const { return has_number_overflow_; }

 private:
  // Counts a value. Returns false if the text exceeds a limit on its values.
  bool Count() {
    if (++value_count_ <= limits_.max_values) return true;
    error_ = TooManyValuesError(limits_.max_values);
    return false;
  }

  // Counts a value of its item. Returns false if the item was dropped.
  bool CountInItem() {
    if (depth_ == kItemDepth) item_value_count_ = 0;
    if (depth_ < kItemDepth || ++item_value_count_ <= limits_.max_item_values) {
      return true;
    }
    skipped_levels_ = depth_ - kItemDepth;
    depth_ = kItemDepth;
    reader_->OnItemDropped();
    return false;
  }

  bool Add(JsonScalar value) {
    if (skipped_levels_ > 0) return true;
    if (!Count()) return false;
    if (CountInItem()) reader_->OnScalar(std::move(value));
    return true;
  }

  template <typename Pass>
  bool Open(Pass pass) {
    if (skipped_levels_ > 0) {
      ++skipped_levels_;
      return true;
    }
    if (!Count()) return false;
    if (!CountInItem()) {
      ++skipped_levels_;
    } else if (depth_ == limits_.max_depth) {
      ++skipped_levels_;
      reader_->OnScalar(nullptr);
    } else {
      ++depth_;
      pass();
    }
    return true;
  }

  bool Close() {
    if (skipped_levels_ > 0) {
      --skipped_levels_;
    } else {
      --depth_;
      reader_->OnEnd();
    }
    return true;
  }

  JsonStreamReader* reader_;
  const JsonLimits& limits_;
  std::size_t depth_ = 0;
  std::size_t value_count_ = 0;
  std::size_t item_value_count_ = 0;
  // Open containers that are not passed on.
  std::size_t skipped_levels_ = 0;
  std::optional<JsonError> error_;
  bool has_number_overflow_ = false;
};

bool ReadOnce(std::string_view text, JsonStreamReader* reader,
              BoundedStream* stream) {
  reader->OnStart();
  return json::sax_parse(text.begin(), text.end(), stream);
}

}  // namespace

std::optional<JsonError> ReadJsonStream(std::string_view text,
                                        JsonStreamReader* reader,
                                        const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return TooManyBytesError(limits.max_bytes);
  }
  BoundedStream stream(reader, limits);
  if (ReadOnce(text, reader, &stream)) return std::nullopt;
  if (!stream.HasNumberOverflow()) return stream.Error();
  BoundedStream second(reader, limits);
  if (ReadOnce(ReplaceTooLargeNumbers(std::string(text)), reader, &second)) {
    return std::nullopt;
  }
  return second.Error();
}

}  // namespace dottereltrack
