#include "api/job_json.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "api/json_fields.h"
#include "api/json_text.h"
#include "json/base64.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxLabelBytes = 128;
constexpr std::size_t kMaxSelectorLabels = 32;
constexpr std::size_t kMaxSelectorValues = 64;
// One day; a longer declared time indicates a wrong unit.
constexpr std::int64_t kMaxDeclaredTimeMs = 86'400'000;

// Fixed version and variant bits in the high and low half of a UUIDv7.
constexpr std::uint64_t kUuidVersionBits = 0x7000;
constexpr std::uint64_t kUuidVariantBits = 0x8000'0000'0000'0000;

// A partially parsed job, with the limit needed to validate its key.
struct JobDraft {
  SubmitRequest request;
  std::size_t max_key_bytes = 0;
};

struct TaskDraft {
  TaskSpec spec;
  bool has_payload = false;
  bool has_payload_base64 = false;
};

std::string ReadPayload(const json& value, const std::string& path,
                        TaskDraft* task) {
  if (!value.is_string()) {
    return "'" + path + "' is a JSON " + value.type_name() +
           "; use a text, or payload_base64 for other bytes";
  }
  task->has_payload = true;
  task->spec.payload = value.get<std::string>();
  return {};
}

std::string ReadBase64Payload(const json& value, const std::string& path,
                              TaskDraft* task) {
  std::optional<std::string> bytes;
  if (value.is_string()) bytes = FromBase64(value.get<std::string>());
  if (!bytes) {
    return "'" + path +
           "' is not base64; use the standard alphabet with "
           "padding and without line breaks";
  }
  task->has_payload_base64 = true;
  task->spec.payload = std::move(*bytes);
  return {};
}

std::string ReadDeclaredTime(const json& value, const std::string& path,
                             TaskDraft* task) {
  std::int64_t n = 0;
  std::string error_message =
      ReadInteger(value, path, 1, kMaxDeclaredTimeMs, &n);
  if (error_message.empty()) task->spec.declared_time = milliseconds{n};
  return error_message;
}

std::string ReadMemoryBytes(const json& value, const std::string& path,
                            TaskDraft* task) {
  std::int64_t n = 0;
  std::string error_message =
      ReadInteger(value, path, 0, std::numeric_limits<std::int64_t>::max(), &n);
  if (error_message.empty()) {
    task->spec.needs.memory_bytes = static_cast<std::uint64_t>(n);
  }
  return error_message;
}

std::string ReadAccelerators(const json& value, const std::string& path,
                             TaskDraft* task) {
  std::int64_t n = 0;
  std::string error_message = ReadInteger(
      value, path, 0, std::numeric_limits<std::uint32_t>::max(), &n);
  if (error_message.empty()) {
    task->spec.needs.accelerators = static_cast<std::uint32_t>(n);
  }
  return error_message;
}

const std::vector<JsonField<TaskDraft>>& TaskFields() {
  static const std::vector<JsonField<TaskDraft>> fields = {
      {"payload", false, ReadPayload},
      {"payload_base64", false, ReadBase64Payload},
      {"declared_ms", false, ReadDeclaredTime},
      {"memory_bytes", false, ReadMemoryBytes},
      {"accelerators", false, ReadAccelerators},
  };
  return fields;
}

std::string ReadTasks(const json& value, const std::string& path,
                      JobDraft* job) {
  if (!value.is_array()) {
    return InvalidValueMessage(path, value, "a list of tasks");
  }
  job->request.tasks.reserve(value.size());
  for (std::size_t n = 0; n < value.size(); ++n) {
    const std::string task_path = path + "[" + std::to_string(n) + "]";
    TaskDraft task;
    std::string error_message =
        ReadFields(value[n], task_path, TaskFields(), &task);
    if (error_message.empty() && task.has_payload && task.has_payload_base64) {
      error_message =
          "'" + task_path + "' has payload and payload_base64; use one of them";
    }
    if (!error_message.empty()) return error_message;
    job->request.tasks.push_back(std::move(task.spec));
  }
  return {};
}

// Reads the allowed values of one selector label: a string or a list of
// strings.
std::string ReadLabelValues(const json& value, const std::string& path,
                            std::vector<std::string>* values) {
  const json list = value.is_array() ? value : json::array({value});
  if (list.empty() || list.size() > kMaxSelectorValues) {
    return InvalidValueMessage(
        path, value,
        "1 to " + std::to_string(kMaxSelectorValues) +
            " values; an empty list would match no minion");
  }
  for (const json& item : list) {
    std::string text;
    std::string error_message =
        ReadBoundedString(item, path, kMaxLabelBytes, &text);
    if (!error_message.empty()) return error_message;
    values->push_back(std::move(text));
  }
  return {};
}

std::string ReadSelector(const json& value, const std::string& path,
                         JobDraft* job) {
  if (!value.is_object() || value.size() > kMaxSelectorLabels) {
    return InvalidValueMessage(
        path, value,
        "an object of at most " + std::to_string(kMaxSelectorLabels) +
            " labels, each with a value or a list of values");
  }
  for (const auto& item : value.items()) {
    std::string label;
    std::string error_message = ReadBoundedString(
        json(item.key()), path + " (a label)", kMaxLabelBytes, &label);
    if (!error_message.empty()) return error_message;
    std::vector<std::string> values;
    error_message =
        ReadLabelValues(item.value(), FieldPath(path, label), &values);
    if (!error_message.empty()) return error_message;
    job->request.selector.allowed.emplace(label, std::move(values));
  }
  return {};
}

std::string ReadTeam(const json& value, const std::string& path,
                     JobDraft* job) {
  return ReadBoundedString(value, path, kMaxNameBytes, &job->request.team);
}

std::string ReadKey(const json& value, const std::string& path, JobDraft* job) {
  return ReadBoundedString(value, path, job->max_key_bytes, &job->request.key);
}

std::string ReadKind(const json& value, const std::string& path,
                     JobDraft* job) {
  return ReadBoundedString(value, path, kMaxNameBytes, &job->request.kind);
}

std::string ReadDeadline(const json& value, const std::string& path,
                         JobDraft* job) {
  std::int64_t n = 0;
  std::string error_message =
      ReadInteger(value, path, 1, job->request.deadline.count(), &n);
  if (error_message.empty()) job->request.deadline = milliseconds{n};
  return error_message;
}

const std::vector<JsonField<JobDraft>>& JobFields() {
  static const std::vector<JsonField<JobDraft>> fields = {
      {"team", true, ReadTeam},
      {"key", false, ReadKey},
      {"kind", false, ReadKind},
      {"selector", false, ReadSelector},
      {"deadline_ms", false, ReadDeadline},
      {"tasks", true, ReadTasks},
  };
  return fields;
}

bool IsPrintableAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

// Sets the idempotency key: from the body, else from the header, else a
// generated one. Returns an error message, or an empty string on success.
std::string ResolveIdempotencyKey(const std::string& header_key,
                                  const KeySeed& seed, ParsedJob* job) {
  std::string& key = job->request.key;
  if (!IsPrintableAscii(header_key)) {
    return "the header Idempotency-Key has bytes that are not printable "
           "ASCII; send such a key in the body";
  }
  if (!key.empty() && !header_key.empty() && key != header_key) {
    return "'key' and the header Idempotency-Key differ; send one of them";
  }
  if (key.empty()) key = header_key;
  job->key_made_here = key.empty();
  if (job->key_made_here) key = GenerateUuidV7(seed);
  return {};
}

void AppendNumber(std::string* text, std::uint64_t n) {
  text->append(std::to_string(n)).push_back(':');
}

// Prefixes the part with its size, so that different lists of parts never
// produce the same text.
void AppendLengthPrefixed(std::string* text, const std::string& part) {
  AppendNumber(text, part.size());
  text->append(part);
}

}  // namespace

ApiResult<ParsedJob> ParseJob(const EntrySettings& settings,
                              std::string_view body,
                              const std::string& header_key,
                              const KeySeed& seed) {
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  JobDraft draft;
  draft.max_key_bytes = settings.max_key_bytes;
  // ReadDeadline uses the initial value as the upper limit of deadline_ms.
  draft.request.deadline = settings.max_deadline;
  std::string error_message =
      ReadFields(object.value(), "", JobFields(), &draft);
  if (!object.value().contains("deadline_ms")) {
    draft.request.deadline = settings.default_deadline;
  }
  ParsedJob job{std::move(draft.request), false};
  if (error_message.empty()) {
    error_message = ResolveIdempotencyKey(header_key, seed, &job);
  }
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  job.request.body_digest = CanonicalDigest(job.request);
  return job;
}

std::string GenerateUuidV7(const KeySeed& seed) {
  // 48-bit timestamp in ms, version 7, 12 random bits; variant 2, 62 random
  // bits.
  const auto now = static_cast<std::uint64_t>(seed.now.count());
  const std::string digits =
      ToHex((now << 16) | kUuidVersionBits | (seed.random_high & 0xfff)) +
      ToHex(kUuidVariantBits | (seed.random_low >> 2));
  return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" +
         digits.substr(12, 4) + "-" + digits.substr(16, 4) + "-" +
         digits.substr(20);
}

std::uint64_t CanonicalDigest(const SubmitRequest& request) {
  std::string text;
  AppendLengthPrefixed(&text, request.team);
  AppendNumber(&text, request.selector.allowed.size());
  for (const auto& [label, allowed] : request.selector.allowed) {
    AppendLengthPrefixed(&text, label);
    std::vector<std::string> values = allowed;
    std::sort(values.begin(), values.end());
    AppendNumber(&text, values.size());
    for (const std::string& value : values) AppendLengthPrefixed(&text, value);
  }
  AppendNumber(&text, request.tasks.size());
  for (const TaskSpec& task : request.tasks) {
    AppendLengthPrefixed(&text, *task.payload);
    AppendNumber(&text, static_cast<std::uint64_t>(task.declared_time.count()));
    AppendNumber(&text, task.needs.memory_bytes);
    AppendNumber(&text, task.needs.accelerators);
  }
  return ComputeDigest(text);
}

}  // namespace dottereltrack
