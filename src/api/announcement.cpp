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

// Returns a reader that stores an integer in the field that `member` selects.
template <typename Member>
FieldReader<Announcement> Number(std::int64_t min, std::int64_t max,
                                 Member member) {
  return [=](const json& value, const std::string& path, Announcement* to) {
    std::int64_t n = 0;
    std::string fault = ReadNumber(value, path, min, max, &n);
    auto& target = member(to);
    if (fault.empty()) target = static_cast<std::decay_t<decltype(target)>>(n);
    return fault;
  };
}

template <typename Member>
FieldReader<Announcement> Text(std::size_t max_bytes, Member member) {
  return [=](const json& value, const std::string& path, Announcement* to) {
    return ReadText(value, path, max_bytes, &member(to));
  };
}

std::string ReadInstance(const json& value, const std::string& path,
                         std::uint64_t* instance) {
  const auto id = value.is_string()
                      ? ParseHexId(value.get_ref<const std::string&>())
                      : std::nullopt;
  if (!id) {
    return WrongValue(path, value,
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
                     Announcement* to) {
  std::string host;
  if (value.is_string()) host = value.get<std::string>();
  if (!IsIpAddress(host)) {
    return WrongValue(path, value, "an IP address of the minion");
  }
  to->target.address.host = host;
  return {};
}

std::string ReadAddress(const json& value, const std::string& path,
                        Announcement* to) {
  static const std::vector<JsonField<Announcement>> fields = {
      {"host", true, &ReadHost},
      {"port", true,
       Number(
           1, 65'535,
           [](auto* it) -> auto& { return it->target.address.port; })}};
  return ReadFields(value, path, fields, to);
}

bool IsPathCharacter(char c) { return c > ' ' && c < 0x7f && c != '#'; }

std::string ReadPath(const json& value, const std::string& path,
                     Announcement* to) {
  std::string text;
  if (value.is_string()) text = value.get<std::string>();
  const bool is_valid = !text.empty() && text.front() == '/' &&
                        text.size() <= kMaxPathBytes &&
                        std::all_of(text.begin(), text.end(), &IsPathCharacter);
  if (!is_valid) {
    return WrongValue(path, value,
                      "a path such as \"/run\" of printable ASCII without "
                      "spaces");
  }
  to->target.path = text;
  return {};
}

std::string ReadLabels(const json& value, const std::string& path,
                       Announcement* to) {
  if (!value.is_object() || value.size() > kMaxLabels) {
    return WrongValue(path, value,
                      "an object of at most " + std::to_string(kMaxLabels) +
                          " labels with texts as values");
  }
  std::map<std::string, std::string> labels;
  for (const auto& [name, label] : value.items()) {
    const bool is_valid =
        !name.empty() && name.size() <= kMaxLabelBytes && label.is_string() &&
        label.get_ref<const std::string&>().size() <= kMaxLabelBytes;
    if (!is_valid) {
      return WrongValue(MemberPath(path, name), label,
                        "a name and a text of at most " +
                            std::to_string(kMaxLabelBytes) + " bytes each");
    }
    labels[name] = label.get<std::string>();
  }
  to->minion.labels = std::move(labels);
  return {};
}

const std::vector<JsonField<Announcement>>& Fields() {
  static const std::vector<JsonField<Announcement>> fields = {
      {"name", true,
       Text(
           kMaxNameBytes, [](auto* it) -> auto& { return it->minion.name; })},
      {"instance", true,
       [](const json& value, const std::string& path, Announcement* to) {
         return ReadInstance(value, path, &to->minion.instance);
       }},
      {"address", true, &ReadAddress},
      {"path", false, &ReadPath},
      {"labels", false, &ReadLabels},
      {"slots", true,
       Number(
           1, kMaxSlots, [](auto* it) -> auto& { return it->minion.slots; })},
      {"connections", true,
       Number(
           1, kMaxConnections,
           [](auto* it) -> auto& { return it->minion.connections; })},
      {"memory_bytes", true,
       Number(
           0, kMaxMemoryBytes,
           [](auto* it) -> auto& { return it->minion.memory_bytes; })},
      {"accelerators", false,
       Number(
           0, kMaxAccelerators,
           [](auto* it) -> auto& { return it->minion.accelerators; })},
      {"rack", false,
       Text(
           kMaxNameBytes, [](auto* it) -> auto& { return it->minion.rack; })},
      {"data_centre", false,
       Text(
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
  std::string fault = ReadFields(object.value(), "", Fields(), &announcement);
  if (!fault.empty()) return InvalidRequest(std::move(fault));
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
  std::string fault = ReadInstance(*it, "instance", &instance);
  if (!fault.empty()) return InvalidRequest(std::move(fault));
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
