#include "api/announcement.h"

#include <arpa/inet.h>

#include <algorithm>
#include <vector>

#include "api/cell_json.h"
#include "api/json_fields.h"
#include "api/json_text.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxLabelBytes = 128;
constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxPathBytes = 1'024;
constexpr std::int64_t kMaxSlots = 4'096;
constexpr std::int64_t kMaxConnections = 65'535;
constexpr std::int64_t kMaxAccelerators = 1'024;
// 1 PiB; a larger value indicates a wrong unit.
constexpr std::int64_t kMaxMemoryBytes = std::int64_t{1} << 50;

// Returns a reader that stores an integer in the field that `select_field`
// returns.
template <typename FieldSelector>
FieldReader<Announcement> IntegerReader(std::int64_t min, std::int64_t max,
                                        FieldSelector select_field) {
  return [=](const json& value, const std::string& path,
             Announcement* announcement) {
    std::int64_t n = 0;
    std::string error_message = ReadInteger(value, path, min, max, &n);
    auto& target = select_field(announcement);
    if (error_message.empty()) {
      target = static_cast<std::decay_t<decltype(target)>>(n);
    }
    return error_message;
  };
}

template <typename FieldSelector>
FieldReader<Announcement> StringReader(std::size_t max_bytes,
                                       FieldSelector select_field) {
  return [=](const json& value, const std::string& path,
             Announcement* announcement) {
    return ReadBoundedString(value, path, max_bytes,
                             &select_field(announcement));
  };
}

std::string ReadInstance(const json& value, const std::string& path,
                         std::uint64_t* instance) {
  const auto id = value.is_string()
                      ? ParseHexId(value.get_ref<const std::string&>())
                      : std::nullopt;
  if (!id) {
    return InvalidValueMessage(
        path, value,
        "16 hexadecimal digits that are new in each run of the "
        "minion");
  }
  *instance = *id;
  return {};
}

bool IsIpAddress(const std::string& text) {
  in6_addr address;
  return inet_pton(AF_INET, text.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

std::string ReadHost(const json& value, const std::string& path,
                     Announcement* announcement) {
  std::string host;
  if (value.is_string()) host = value.get<std::string>();
  if (!IsIpAddress(host)) {
    return InvalidValueMessage(path, value, "an IP address of the minion");
  }
  announcement->target.address.host = host;
  return {};
}

std::string ReadAddress(const json& value, const std::string& path,
                        Announcement* announcement) {
  static const std::vector<JsonField<Announcement>> fields = {
      {"host", true, &ReadHost},
      {"port", true,
       IntegerReader(
           1, 65'535,
           [](auto* it) -> auto& { return it->target.address.port; })}};
  return ReadFields(value, path, fields, announcement);
}

bool IsPathCharacter(char c) { return c > ' ' && c < 0x7f && c != '#'; }

std::string ReadPath(const json& value, const std::string& path,
                     Announcement* announcement) {
  std::string text;
  if (value.is_string()) text = value.get<std::string>();
  const bool is_valid = !text.empty() && text.front() == '/' &&
                        text.size() <= kMaxPathBytes &&
                        std::all_of(text.begin(), text.end(), &IsPathCharacter);
  if (!is_valid) {
    return InvalidValueMessage(
        path, value,
        "a path such as \"/run\" of printable ASCII without "
        "spaces");
  }
  announcement->target.path = text;
  return {};
}

std::string ReadLabels(const json& value, const std::string& path,
                       Announcement* announcement) {
  if (!value.is_object() || value.size() > kMaxLabels) {
    return InvalidValueMessage(path, value,
                               "an object of at most " +
                                   std::to_string(kMaxLabels) +
                                   " labels with texts as values");
  }
  std::map<std::string, std::string> labels;
  for (const auto& [name, label] : value.items()) {
    const bool is_valid =
        !name.empty() && name.size() <= kMaxLabelBytes && label.is_string() &&
        label.get_ref<const std::string&>().size() <= kMaxLabelBytes;
    if (!is_valid) {
      return InvalidValueMessage(FieldPath(path, name), label,
                                 "a name and a text of at most " +
                                     std::to_string(kMaxLabelBytes) +
                                     " bytes each");
    }
    labels[name] = label.get<std::string>();
  }
  announcement->minion.labels = std::move(labels);
  return {};
}

const std::vector<JsonField<Announcement>>& AnnouncementFields() {
  static const std::vector<JsonField<Announcement>> fields = {
      {"name", true,
       StringReader(
           kMaxNameBytes, [](auto* it) -> auto& { return it->minion.name; })},
      {"instance", true,
       [](const json& value, const std::string& path,
          Announcement* announcement) {
         return ReadInstance(value, path, &announcement->minion.instance);
       }},
      {"address", true, &ReadAddress},
      {"path", false, &ReadPath},
      {"labels", false, &ReadLabels},
      {"slots", true,
       IntegerReader(
           1, kMaxSlots, [](auto* it) -> auto& { return it->minion.slots; })},
      {"connections", true,
       IntegerReader(
           1, kMaxConnections,
           [](auto* it) -> auto& { return it->minion.connections; })},
      {"memory_bytes", true,
       IntegerReader(
           0, kMaxMemoryBytes,
           [](auto* it) -> auto& { return it->minion.memory_bytes; })},
      {"accelerators", false,
       IntegerReader(
           0, kMaxAccelerators,
           [](auto* it) -> auto& { return it->minion.accelerators; })},
      {"rack", false,
       StringReader(
           kMaxNameBytes, [](auto* it) -> auto& { return it->minion.rack; })},
      {"data_centre", false,
       StringReader(
           kMaxNameBytes,
           [](auto* it) -> auto& { return it->minion.data_centre; })}};
  return fields;
}

}  // namespace

ApiResult<Announcement> ParseAnnouncement(std::string_view body,
                                          const MinionDescription& defaults) {
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  Announcement announcement;
  announcement.minion.data_centre = defaults.data_centre;
  announcement.minion.rack = defaults.rack;
  std::string error_message =
      ReadFields(object.value(), "", AnnouncementFields(), &announcement);
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  return announcement;
}

ApiResult<std::optional<std::uint64_t>> ParseLeave(std::string_view body) {
  using Instance = std::optional<std::uint64_t>;
  if (body.empty()) return Instance();
  const ApiResult<json> object = ParseObject(body);
  if (!object) return object.error();
  const auto it = object.value().find("instance");
  if (it == object.value().end()) return Instance();
  std::uint64_t instance = 0;
  std::string error_message = ReadInstance(*it, "instance", &instance);
  if (!error_message.empty()) return InvalidRequest(std::move(error_message));
  return Instance(instance);
}

ApiReply RenderAccepted(const std::string& minion) {
  ApiReply reply;
  reply.body = ToJsonText({{"accepted", minion}});
  return reply;
}

ApiReply RenderOtherInstance() {
  return RenderError(409, "other_instance",
                     "another instance of the minion is announced; a minion "
                     "that has been replaced needs no leave");
}

}  // namespace dottereltrack
