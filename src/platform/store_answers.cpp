#include "platform/store_answers.h"

#include "platform/cell_json.h"

namespace dottereltrack {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

struct Revision {
  std::uint64_t revision = 0;
};

void ReadRevision(const JsonCursor& at, Revision* out) {
  ReadField(at, "revision", Presence::kRequired, &out->revision);
}

void ReadStoredTable(const JsonCursor& at, StoredTable* out) {
  ReadField(at, "revision", Presence::kRequired, &out->revision);
  if (const auto value = Field(at, "value", Presence::kRequired)) {
    ReadCellTable(*value, &out->table);
  }
}

void ReadStoredConfig(const JsonCursor& at, StoredConfig* out) {
  ReadField(at, "revision", Presence::kRequired, &out->revision);
  if (const auto value = Field(at, "value", Presence::kRequired)) {
    ReadCellConfig(*value, &out->config);
  }
}

template <typename T>
std::optional<T> ReadAnswer(const HttpResult& result,
                            void (*read)(const JsonCursor&, T*),
                            std::string* problem) {
  problem->clear();
  if (result.end != HttpEnd::kAnswered) {
    *problem = result.message;
    return std::nullopt;
  }
  if (result.status == kNotFound) return T{};
  if (result.status == kNoContent) return std::nullopt;
  if (result.status != kOk) {
    *problem = "the store answers with status " +
               std::to_string(result.status) + "; check its state";
    return std::nullopt;
  }
  auto value = ParseJson<T>(result.body, read);
  if (value) return value.value();
  *problem =
      "the store holds a value that cannot be used: " + value.error().message;
  return std::nullopt;
}

}  // namespace

WriteResult ClassifyWrite(const HttpResult& result) {
  switch (result.end) {
    case HttpEnd::kNotConnected:
    case HttpEnd::kRefused:
      return {WriteStatus::kNotApplied, 0};
    case HttpEnd::kAnswered:
      break;
    default:
      return {WriteStatus::kUndecided, 0};
  }
  if (result.status == kConflict) return {WriteStatus::kConflict, 0};
  if (result.status == kUnavailable) return {WriteStatus::kNotApplied, 0};
  if (result.status != kOk) return {WriteStatus::kUndecided, 0};
  const auto written = ParseJson<Revision>(result.body, &ReadRevision);
  if (!written) return {WriteStatus::kUndecided, 0};
  return {WriteStatus::kApplied, written.value().revision};
}

std::optional<StoredTable> ReadTableAnswer(const HttpResult& result,
                                           std::string* problem) {
  return ReadAnswer<StoredTable>(result, &ReadStoredTable, problem);
}

std::optional<StoredConfig> ReadConfigAnswer(const HttpResult& result,
                                             std::string* problem) {
  return ReadAnswer<StoredConfig>(result, &ReadStoredConfig, problem);
}

}  // namespace dottereltrack
